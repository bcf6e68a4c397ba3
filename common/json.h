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

/**
 * Whole number of a member, however it is written (3, 3.0 or 3e0). Returns false if it is missing,
 * negative, not whole, beyond 64 bits or of another type.
 */
bool json_member_u64(struct json_object *o, const char *name, uint64_t *out);

/**
 * Number of a member, integer or not. Returns false if it is missing, of another type or too large
 * for a double.
 */
bool json_member_number(struct json_object *o, const char *name, double *out);

/**
 * Number of things of a member: a fraction is dropped, and more than max is max. Returns false if it
 * is missing, negative or of another type.
 */
bool json_member_count(struct json_object *o, const char *name, uint64_t max, uint64_t *out);

/** Largest result of json_member_amount(); a sum of millions of them is still a finite double. */
#define JSON_AMOUNT_MAX 1e300

/**
 * Number of a member that is not negative; one beyond JSON_AMOUNT_MAX is JSON_AMOUNT_MAX. Returns false
 * if it is missing, negative or of another type.
 */
bool json_member_amount(struct json_object *o, const char *name, double *out);

/** Tests whether a member exists, whatever its type; null counts as missing. */
bool json_member_exists(struct json_object *o, const char *name);

/** Boolean of a member; false also if it is missing or of another type. */
bool json_member_bool(struct json_object *o, const char *name);

/** Object of a member, or NULL if it is missing or of another type. */
struct json_object *json_member_object(struct json_object *o, const char *name);

/** Array of a member, or NULL if it is missing or of another type. */
struct json_object *json_member_array(struct json_object *o, const char *name);

#endif
