/// @file A list that may be absent, which is not the same as empty.
#pragma once

#include <msgpack.hpp>
#include <optional>
#include <vector>

namespace Fleet {

/**
 * A list that restricts something, such as the regions that may serve a request. Absent, it restricts nothing; empty, it allows nothing.
 *
 * In messages an absent list is an empty array, as in those of peers that know no difference, and an empty one is nil. Such peers reject a message with nil.
 */
template <typename T>
struct OptionalList : std::optional<std::vector<T>>
{
    using Base = std::optional<std::vector<T>>;
    using Base::Base;

    bool operator==(const OptionalList &other) const
    {
        return static_cast<const Base &>(*this) == static_cast<const Base &>(other);
    }

    template <typename Packer>
    void msgpack_pack(Packer &packer) const
    {
        if (this->has_value() && this->value().empty()) {
            packer.pack_nil();
        } else {
            packer.pack(this->value_or(std::vector<T>()));
        }
    }

    void msgpack_unpack(const msgpack::object &object)
    {
        this->reset();
        if (object.is_nil()) {
            this->emplace();
            return;
        }
        std::vector<T> items = object.as<std::vector<T>>();
        if (!items.empty()) {
            this->emplace(std::move(items));
        }
    }
};

}
