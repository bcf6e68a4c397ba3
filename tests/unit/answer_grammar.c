/* The checker of answers: each case of the table as a whole and in every two parts. */
#include "net/answer_grammar.h"
#include "tests/unit/answer_cases.h"

#include <criterion/criterion.h>
#include <string.h>

#define ANSWER_MAX_BYTES 1024

/** What became of a case: whether an answer with a final status was found, and its framing. */
struct outcome {
	enum answer_verdict verdict;
	enum answer_framing framing;
	uint16_t status;
};

/* Checks bytes, answer by answer; interim answers are passed over. Returns false at the end. */
static bool check_part(struct answer_grammar *g, const struct answer_case *a, size_t from,
		       size_t to, struct outcome *out)
{
	char bytes[ANSWER_MAX_BYTES];

	cr_assert_leq(a->len, sizeof(bytes));
	memcpy(bytes, a->bytes, a->len);
	while (from < to) {
		from += answer_grammar_check(g, bytes + from, to - from, a->head, &out->verdict);
		if (out->verdict == ANSWER_INVALID)
			return false;
		out->status = g->status;
		out->framing = g->framing;
		if (out->verdict == ANSWER_COMPLETE && g->status >= 200)
			return false;
	}
	return true;
}

static struct outcome check_split(const struct answer_case *a, size_t split)
{
	struct outcome out = {.verdict = ANSWER_GOES_ON};
	struct answer_grammar g;

	answer_grammar_init(&g);
	if (check_part(&g, a, 0, split, &out))
		check_part(&g, a, split, a->len, &out);
	return out;
}

static bool is_answer(const struct outcome *out)
{
	return out->verdict == ANSWER_COMPLETE ||
	       (out->verdict == ANSWER_GOES_ON && out->framing == ANSWER_UNTIL_CLOSE);
}

Test(answer_grammar, takes_what_is_valid)
{
	for (size_t i = 0; i < N_ANSWER_CASES; i++) {
		const struct answer_case *a = &answer_cases[i];

		for (size_t split = 0; split < a->len; split++) {
			struct outcome out = check_split(a, split);

			cr_assert_eq(is_answer(&out), a->status != 0, "%s, split at %zu", a->name,
				     split);
			if (a->status)
				cr_assert_eq(out.status, a->status, "%s", a->name);
			if (a->by_close)
				cr_assert_eq(out.verdict, ANSWER_GOES_ON, "%s", a->name);
		}
	}
}

/* The bytes that precede an invalid one are counted, so that an earlier answer is not lost. */
Test(answer_grammar, counts_valid_bytes)
{
	char bytes[] = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 2\r\n";
	struct answer_grammar g;
	enum answer_verdict verdict;
	size_t n;

	answer_grammar_init(&g);
	n = answer_grammar_check(&g, bytes, sizeof(bytes) - 1, false, &verdict);
	cr_assert_eq(verdict, ANSWER_COMPLETE);
	cr_assert_eq(n, sizeof(bytes) - 1 - strlen("HTTP/1.1 2\r\n"));
	cr_assert_eq(answer_grammar_check(&g, bytes + n, sizeof(bytes) - 1 - n, false, &verdict),
		     strlen("HTTP/1.1 2"));
	cr_assert_eq(verdict, ANSWER_INVALID);
}
