/// @file Template documents: what operators write and keep under version control.
#pragma once

#include "LibControl/Model.h"
#include "LibSettings/Reader.h"

namespace Control {

/**
 * Reads a template document:
 *
 *     name: drafts
 *     service: drafting-models
 *     kind: model                # or plain
 *     policy: bytes              # or time
 *     origin_copies: 1
 *     accounts:
 *       - {account: garments-a, model: moodboard, version: "7", replicas: 4, places: [hcm-a, hanoi-a], weight: 1}
 *
 * Digests stay empty: a version's name is resolved when the document is published.
 */
Template readTemplateDocument(Settings::Reader &reader);

}
