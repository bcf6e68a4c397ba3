/**
 * @file node_message.h
 * Questions of nodes to each other's peer port with a JSON object as their body, and the answers.
 */
#ifndef MESH_NODE_MESSAGE_H
#define MESH_NODE_MESSAGE_H

#include "net/http_msg.h"

struct json_object;

/** Appends a request with a header field that tells its kind; takes over body. */
void node_message_write(struct buf *out, const char *field, struct json_object *body);

/** Appends an answer; takes over body, which may be NULL. */
void node_message_write_answer(struct buf *out, uint16_t status, struct json_object *body);

/** Body of a request or an answer, to be released by the caller; NULL if it is no JSON object. */
struct json_object *node_message_read(const struct http_msg *m);

#endif
