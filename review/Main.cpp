/// @file Runs one case: review-case NAME RECORD, in the root of the repository.

#include "Cases.h"

#include <iostream>

int main(int argc, char **argv)
{
    const std::map<std::string, int (*)(const std::string &)> cases{
        {"uploads", Review::playUploads}, {"tenants", Review::playTenants}, {"drain", Review::playDrain}};
    if (argc != 3 || !cases.contains(argv[1])) {
        std::cerr << "usage: review-case NAME RECORD" << std::endl;
        return Review::CouldNotRun;
    }
    return cases.at(argv[1])(argv[2]);
}
