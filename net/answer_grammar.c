#include "net/answer_grammar.h"

#include <string.h>

#define PROTOCOL "HTTP/1."
#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_SWITCHING_PROTOCOLS 101

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

static bool is_letter(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* tchar of RFC 9110 */
static bool is_token(char c)
{
	return is_digit(c) || is_letter(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

/* Bytes of a value, a reason or a quoted text: blanks, VCHAR and obs-text of RFC 9110. */
static bool is_text(char c)
{
	uint8_t byte = (uint8_t)c;

	return c == '\t' || (byte >= ' ' && byte != 0x7f);
}

static char to_lower(char c)
{
	return c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
}

/* Value of a hexadecimal digit, or -1. */
static int hex_value(char c)
{
	c = to_lower(c);
	if (is_digit(c))
		return c - '0';
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static void start_word(struct answer_grammar *g)
{
	g->word_len = 0;
	g->word[0] = '\0';
}

static void add_to_word(struct answer_grammar *g, char c)
{
	if (g->word_len + 1 >= ANSWER_WORD_BYTES) {
		g->word[0] = '\0';
		return;
	}
	g->word[g->word_len++] = to_lower(c);
	g->word[g->word_len] = '\0';
}

/* Multiplies by the base and adds a digit; false beyond 64 bits. */
static bool add_digit(uint64_t *n, uint64_t base, int digit)
{
	if (*n > (UINT64_MAX - (uint64_t)digit) / base)
		return false;
	*n = *n * base + (uint64_t)digit;
	return true;
}

static bool go_on_with(struct answer_grammar *g, enum answer_part part)
{
	g->part = part;
	return true;
}

/* Goes on if c is the only byte that may come here. */
static bool expect(struct answer_grammar *g, char c, char expected, enum answer_part next)
{
	return c == expected && go_on_with(g, next);
}

static bool read_protocol(struct answer_grammar *g, char c)
{
	if (c != PROTOCOL[g->n_read])
		return false;
	if (++g->n_read == strlen(PROTOCOL))
		g->part = ANSWER_MINOR_VERSION;
	return true;
}

static bool read_minor_version(struct answer_grammar *g, char c)
{
	if (c == ' ' && g->n_read > strlen(PROTOCOL)) {
		g->n_read = 0;
		return go_on_with(g, ANSWER_STATUS);
	}
	if (!is_digit(c) || g->n_read > strlen(PROTOCOL))
		return false;
	g->n_read++;
	g->is_version_1_0 = c == '0';
	return true;
}

/* A switch of protocols is invalid, since no request asks for one. */
static bool is_possible_status(uint16_t status)
{
	return status >= STATUS_MIN && status <= STATUS_MAX && status != STATUS_SWITCHING_PROTOCOLS;
}

static bool read_status(struct answer_grammar *g, char c)
{
	if (g->n_read == STATUS_DIGITS)
		return c == ' ' && is_possible_status(g->status) && go_on_with(g, ANSWER_REASON);
	if (!is_digit(c))
		return false;
	g->status = (uint16_t)(g->status * 10 + (c - '0'));
	g->n_read++;
	return true;
}

static bool read_reason(struct answer_grammar *g, char c)
{
	return c == '\r' ? go_on_with(g, ANSWER_STATUS_LF) : is_text(c);
}

static bool start_field(struct answer_grammar *g, char c)
{
	if (c == '\r')
		return go_on_with(g, ANSWER_LAST_LF);
	if (!is_token(c))
		return false;
	start_word(g);
	add_to_word(g, c);
	return go_on_with(g, ANSWER_FIELD_NAME);
}

/* Fields of trailers do not decide on the framing. */
static enum answer_field field_of_name(const struct answer_grammar *g)
{
	if (g->in_trailers)
		return ANSWER_FIELD_OTHER;
	if (!strcmp(g->word, "content-length"))
		return ANSWER_FIELD_LENGTH;
	if (!strcmp(g->word, "transfer-encoding"))
		return ANSWER_FIELD_CODING;
	return ANSWER_FIELD_OTHER;
}

static bool read_field_name(struct answer_grammar *g, char c)
{
	if (c != ':') {
		add_to_word(g, c);
		return is_token(c);
	}
	g->field = field_of_name(g);
	g->value_begun = false;
	g->value_ended = false;
	start_word(g);
	return go_on_with(g, ANSWER_FIELD_VALUE);
}

static bool read_length(struct answer_grammar *g, char c)
{
	/* A second field with a length, even with the same one. */
	if (!g->value_begun && g->has_length)
		return false;
	g->has_length = true;
	return is_digit(c) && add_digit(&g->length_bytes, 10, c - '0');
}

static bool read_coding(struct answer_grammar *g, char c)
{
	if (!g->value_begun && g->has_coding)
		return false;
	g->has_coding = true;
	add_to_word(g, c);
	return is_token(c);
}

/* Reads one byte of a value that is one word with blanks around it. */
static bool read_framing_value(struct answer_grammar *g, char c)
{
	bool valid;

	if (is_blank(c)) {
		g->value_ended = g->value_begun;
		return true;
	}
	if (g->value_ended)
		return false;
	valid = g->field == ANSWER_FIELD_LENGTH ? read_length(g, c) : read_coding(g, c);
	g->value_begun = true;
	return valid;
}

/* No other coding than "chunked" may be used unless the client asks for it. */
static bool is_whole_value(const struct answer_grammar *g)
{
	switch (g->field) {
	case ANSWER_FIELD_LENGTH:
		return g->value_begun;
	case ANSWER_FIELD_CODING:
		return !strcmp(g->word, "chunked");
	case ANSWER_FIELD_OTHER:
		break;
	}
	return true;
}

static bool read_field_value(struct answer_grammar *g, char c)
{
	if (c == '\r')
		return is_whole_value(g) && go_on_with(g, ANSWER_FIELD_LF);
	return g->field == ANSWER_FIELD_OTHER ? is_text(c) : read_framing_value(g, c);
}

static enum answer_framing framing_of(const struct answer_grammar *g, bool to_head)
{
	if (to_head || g->status < 200 || g->status == 204 || g->status == 304)
		return ANSWER_NO_BODY;
	if (g->has_coding)
		return ANSWER_CHUNKED;
	return g->has_length ? ANSWER_LENGTH : ANSWER_UNTIL_CLOSE;
}

/* A length beside chunks, and chunks in HTTP/1.0, are faults of the framing (RFC 9112, 6.1). */
static bool end_head(struct answer_grammar *g, bool to_head)
{
	if (g->has_coding && (g->has_length || g->is_version_1_0))
		return false;
	g->framing = framing_of(g, to_head);
	g->left_bytes = g->length_bytes;
	switch (g->framing) {
	case ANSWER_NO_BODY:
		return go_on_with(g, ANSWER_END);
	case ANSWER_LENGTH:
		return go_on_with(g, g->left_bytes ? ANSWER_BODY : ANSWER_END);
	case ANSWER_CHUNKED:
		return go_on_with(g, ANSWER_CHUNK_START);
	case ANSWER_UNTIL_CLOSE:
		return go_on_with(g, ANSWER_BODY_UNTIL_CLOSE);
	}
	return false;
}

static bool read_last_lf(struct answer_grammar *g, char c, bool to_head)
{
	if (c != '\n')
		return false;
	return g->in_trailers ? go_on_with(g, ANSWER_END) : end_head(g, to_head);
}

static bool start_chunk(struct answer_grammar *g, char c)
{
	int digit = hex_value(c);

	if (digit < 0)
		return false;
	g->left_bytes = (uint64_t)digit;
	return go_on_with(g, ANSWER_CHUNK_SIZE);
}

/* Reads what may follow a chunk size or an extension. */
static bool read_after_extension(struct answer_grammar *g, char c)
{
	if (c == '\r')
		return go_on_with(g, ANSWER_CHUNK_SIZE_LF);
	if (c == ';')
		return go_on_with(g, ANSWER_EXTENSION_START);
	return is_blank(c) && go_on_with(g, ANSWER_EXTENSION_GAP);
}

static bool read_chunk_size(struct answer_grammar *g, char c)
{
	int digit = hex_value(c);

	return digit < 0 ? read_after_extension(g, c) : add_digit(&g->left_bytes, 16, digit);
}

static bool start_extension(struct answer_grammar *g, char c)
{
	return is_blank(c) || (is_token(c) && go_on_with(g, ANSWER_EXTENSION_NAME));
}

static bool read_extension_name(struct answer_grammar *g, char c)
{
	if (is_token(c))
		return true;
	if (c == '=')
		return go_on_with(g, ANSWER_EXTENSION_VALUE_START);
	if (is_blank(c))
		return go_on_with(g, ANSWER_EXTENSION_NAME_GAP);
	return read_after_extension(g, c);
}

/* Blanks behind a name, or behind a size or a value: another part of the line must follow. */
static bool read_extension_gap(struct answer_grammar *g, char c)
{
	if (c == '=' && g->part == ANSWER_EXTENSION_NAME_GAP)
		return go_on_with(g, ANSWER_EXTENSION_VALUE_START);
	return is_blank(c) || expect(g, c, ';', ANSWER_EXTENSION_START);
}

static bool start_extension_value(struct answer_grammar *g, char c)
{
	if (c == '"')
		return go_on_with(g, ANSWER_EXTENSION_QUOTED);
	return is_blank(c) || (is_token(c) && go_on_with(g, ANSWER_EXTENSION_VALUE));
}

static bool read_extension_value(struct answer_grammar *g, char c)
{
	return is_token(c) || read_after_extension(g, c);
}

static bool read_quoted(struct answer_grammar *g, char c)
{
	if (c == '"')
		return go_on_with(g, ANSWER_EXTENSION_QUOTED_END);
	if (c == '\\')
		return go_on_with(g, ANSWER_EXTENSION_ESCAPED);
	return is_text(c);
}

static bool read_chunk_size_lf(struct answer_grammar *g, char c)
{
	g->in_trailers = !g->left_bytes;
	return expect(g, c, '\n', g->in_trailers ? ANSWER_FIELD_START : ANSWER_CHUNK);
}

/* Reads one byte outside of a body and a chunk. Returns false if it is invalid. */
static bool read_byte(struct answer_grammar *g, char c, bool to_head)
{
	switch (g->part) {
	case ANSWER_PROTOCOL:
		return read_protocol(g, c);
	case ANSWER_MINOR_VERSION:
		return read_minor_version(g, c);
	case ANSWER_STATUS:
		return read_status(g, c);
	case ANSWER_REASON:
		return read_reason(g, c);
	case ANSWER_STATUS_LF:
	case ANSWER_FIELD_LF:
		return expect(g, c, '\n', ANSWER_FIELD_START);
	case ANSWER_FIELD_START:
		return start_field(g, c);
	case ANSWER_FIELD_NAME:
		return read_field_name(g, c);
	case ANSWER_FIELD_VALUE:
		return read_field_value(g, c);
	case ANSWER_LAST_LF:
		return read_last_lf(g, c, to_head);
	case ANSWER_CHUNK_START:
		return start_chunk(g, c);
	case ANSWER_CHUNK_SIZE:
		return read_chunk_size(g, c);
	case ANSWER_EXTENSION_GAP:
	case ANSWER_EXTENSION_NAME_GAP:
		return read_extension_gap(g, c);
	case ANSWER_EXTENSION_START:
		return start_extension(g, c);
	case ANSWER_EXTENSION_NAME:
		return read_extension_name(g, c);
	case ANSWER_EXTENSION_VALUE_START:
		return start_extension_value(g, c);
	case ANSWER_EXTENSION_VALUE:
		return read_extension_value(g, c);
	case ANSWER_EXTENSION_QUOTED:
		return read_quoted(g, c);
	case ANSWER_EXTENSION_ESCAPED:
		return is_text(c) && go_on_with(g, ANSWER_EXTENSION_QUOTED);
	case ANSWER_EXTENSION_QUOTED_END:
		return read_after_extension(g, c);
	case ANSWER_CHUNK_SIZE_LF:
		return read_chunk_size_lf(g, c);
	case ANSWER_CHUNK_CR:
		return expect(g, c, '\r', ANSWER_CHUNK_LF);
	case ANSWER_CHUNK_LF:
		return expect(g, c, '\n', ANSWER_CHUNK_START);
	case ANSWER_BODY:
	case ANSWER_BODY_UNTIL_CLOSE:
	case ANSWER_CHUNK:
	case ANSWER_END:
		break;
	}
	return false;
}

/* Skips bytes of a body or a chunk, which may be any. Returns their number. */
static size_t skip_content(struct answer_grammar *g, size_t len)
{
	size_t n = g->left_bytes < len ? (size_t)g->left_bytes : len;

	switch (g->part) {
	case ANSWER_BODY_UNTIL_CLOSE:
		return len;
	case ANSWER_BODY:
	case ANSWER_CHUNK:
		g->left_bytes -= n;
		if (!g->left_bytes)
			g->part = g->part == ANSWER_BODY ? ANSWER_END : ANSWER_CHUNK_CR;
		return n;
	default:
		return 0;
	}
}

void answer_grammar_init(struct answer_grammar *g)
{
	*g = (struct answer_grammar){.part = ANSWER_PROTOCOL};
}

/* Tests whether the byte just read, if it is blank, stands where it has no meaning. */
static bool is_in_gap(const struct answer_grammar *g)
{
	return g->part == ANSWER_EXTENSION_GAP ||
	       (g->part == ANSWER_FIELD_VALUE && g->field != ANSWER_FIELD_OTHER);
}

size_t answer_grammar_check(struct answer_grammar *g, char *bytes, size_t len, bool to_head,
			    enum answer_verdict *verdict)
{
	size_t at = 0;

	if (g->part == ANSWER_END)
		answer_grammar_init(g);
	*verdict = ANSWER_GOES_ON;
	while (at < len && g->part != ANSWER_END) {
		size_t skipped = skip_content(g, len - at);

		if (!skipped && !read_byte(g, bytes[at], to_head)) {
			*verdict = ANSWER_INVALID;
			return at;
		}
		if (!skipped && bytes[at] == '\t' && is_in_gap(g))
			bytes[at] = ' ';
		at += skipped ? skipped : 1;
	}
	if (g->part == ANSWER_END)
		*verdict = ANSWER_COMPLETE;
	return at;
}
