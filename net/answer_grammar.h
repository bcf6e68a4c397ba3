/**
 * @file answer_grammar.h
 * Checks the bytes of HTTP/1.x answers against the grammar of RFC 9112: status line, field lines,
 * framing and trailers. No socket, no allocation.
 *
 * The HTTP parser accepts much that is no HTTP, such as the status 000, a line that ends with a
 * single CR, or any two bytes behind a chunk. A server in trouble may send such bytes, and then
 * nothing that seems to be its answer is to be trusted. What RFC 9112 lets a recipient tolerate, as
 * a single LF at the end of a line or a folded field, is not tolerated: no sender may produce it.
 */
#ifndef NET_ANSWER_GRAMMAR_H
#define NET_ANSWER_GRAMMAR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Longest word that the checker compares, with a terminator. */
#define ANSWER_WORD_BYTES 20

/** What ends the body of an answer. */
enum answer_framing {
	/** There is no body, whatever the fields say. */
	ANSWER_NO_BODY,
	ANSWER_LENGTH,
	ANSWER_CHUNKED,
	/** The end of the connection. */
	ANSWER_UNTIL_CLOSE,
};

/** Field whose value decides on the framing. */
enum answer_field {
	ANSWER_FIELD_OTHER,
	ANSWER_FIELD_LENGTH,
	ANSWER_FIELD_CODING,
};

/** What the next byte is part of. */
enum answer_part {
	ANSWER_PROTOCOL,
	ANSWER_MINOR_VERSION,
	ANSWER_STATUS,
	ANSWER_REASON,
	ANSWER_STATUS_LF,
	ANSWER_FIELD_START,
	ANSWER_FIELD_NAME,
	ANSWER_FIELD_VALUE,
	ANSWER_FIELD_LF,
	ANSWER_LAST_LF,
	ANSWER_BODY,
	ANSWER_BODY_UNTIL_CLOSE,
	ANSWER_CHUNK_START,
	ANSWER_CHUNK_SIZE,
	ANSWER_EXTENSION_GAP,
	ANSWER_EXTENSION_START,
	ANSWER_EXTENSION_NAME,
	ANSWER_EXTENSION_NAME_GAP,
	ANSWER_EXTENSION_VALUE_START,
	ANSWER_EXTENSION_VALUE,
	ANSWER_EXTENSION_QUOTED,
	ANSWER_EXTENSION_ESCAPED,
	ANSWER_EXTENSION_QUOTED_END,
	ANSWER_CHUNK_SIZE_LF,
	ANSWER_CHUNK,
	ANSWER_CHUNK_CR,
	ANSWER_CHUNK_LF,
	/** The answer is complete. */
	ANSWER_END,
};

/** Progress in one answer; the fields are private to this module unless noted. */
struct answer_grammar {
	enum answer_part part;
	/** Number of bytes of the protocol's name or of the status that have been read. */
	uint8_t n_read;
	bool is_version_1_0, in_trailers;
	uint16_t status;
	enum answer_field field;
	/** Beginning of a field's name or of a coding, in lower case; "" if it is longer. */
	char word[ANSWER_WORD_BYTES];
	uint8_t word_len;
	/** The value of a framing field has begun, or has ended. */
	bool value_begun, value_ended;
	bool has_length, has_coding;
	/** Of the answer's body if its length is announced; readable by the owner. */
	uint64_t length_bytes;
	/** Of the body or the chunk being read. */
	uint64_t left_bytes;
	/** Known once the head has been read; readable by the owner. */
	enum answer_framing framing;
};

enum answer_verdict {
	/** All bytes were valid; the answer goes on. */
	ANSWER_GOES_ON,
	/** The answer is complete. */
	ANSWER_COMPLETE,
	/** The byte behind the valid ones belongs to no answer; nothing further can be checked. */
	ANSWER_INVALID,
};

/** Starts with a new answer. */
void answer_grammar_init(struct answer_grammar *g);

/**
 * Checks bytes up to the end of the current answer, interim answers included; after a complete one
 * the next call starts with a new one. to_head: the answer is one to HEAD. Replaces tabs around the
 * values of framing fields and behind chunk sizes by spaces, which mean the same, since the HTTP
 * parser knows only these. Returns the number of valid bytes.
 */
size_t answer_grammar_check(struct answer_grammar *g, char *bytes, size_t len, bool to_head,
			    enum answer_verdict *verdict);

#endif
