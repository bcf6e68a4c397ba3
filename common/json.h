/**
 * @file json.h
 * Parses JSON objects and gives type-checked access to their members. Pointers that the
 * json_member functions return belong to the object.
 */
#ifndef COMMON_JSON_H
#define COMMON_JSON_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Parses a JSON object. Returns NULL if the bytes are not a JSON object or out of memory; the
 * caller releases the object with json_object_put().
 */
struct json_object *json_parse_object(const char *bytes, size_t len);

/**
 * A string, or NULL for a value of another type, and for a string with a NUL character, which would be
 * cut there.
 */
const char *json_text(struct json_object *v);

/** json_text() of a member; NULL also if it is missing. */
const char *json_member_text(struct json_object *o, const char *name);

/** Integer of a member. Returns false if it is missing, negative or of another type. */
bool json_member_u64(struct json_object *o, const char *name, uint64_t *out);

/**
 * Number of a member, integer or not. Returns false if it is missing, of another type or too large
 * for a double.
 */
bool json_member_number(struct json_object *o, const char *name, double *out);

/** Boolean of a member; false also if it is missing or of another type. */
bool json_member_bool(struct json_object *o, const char *name);

/** Object of a member, or NULL if it is missing or of another type. */
struct json_object *json_member_object(struct json_object *o, const char *name);

/** Array of a member, or NULL if it is missing or of another type. */
struct json_object *json_member_array(struct json_object *o, const char *name);

#endif
