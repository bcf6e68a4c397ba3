/**
 * @file left_format.h
 * Targets that have left (briarreel/left_list.h) as JSON, in the store and between nodes.
 */
#ifndef MESH_LEFT_FORMAT_H
#define MESH_LEFT_FORMAT_H

#include "briarreel/left_list.h"

struct json_object;

/** The list as a JSON array, owned by the caller. */
struct json_object *left_write(const struct br_left_list *l);

/** Adds the entries of a JSON array; those that can't be read are logged and left out. */
void left_read(struct json_object *list, struct br_left_list *out);

#endif
