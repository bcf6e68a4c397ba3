#include "briarreel/attempt.h"

#include <criterion/criterion.h>
#include <errno.h>

Test(attempt, text_round_trip)
{
	struct br_attempt_id id = {
		.entry = {"10.0.0.1:7000"}, .incarnation = UINT64_MAX, .counter = 1};
	struct br_attempt_id back;
	char text[BR_ATTEMPT_ID_BYTES];

	br_attempt_id_format(&id, text);
	cr_assert_str_eq(text, "10.0.0.1:7000/18446744073709551615/1");
	cr_assert_eq(br_attempt_id_parse(text, &back), 0);
	cr_assert(br_attempt_id_equal(&id, &back));
}

/* Two spellings of one id would count as two attempts. */
Test(attempt, refuses_other_spellings)
{
	static const char *const bad[] = {
		"",
		"/1/1",
		"a",
		"a/1",
		"a/1/",
		"a//1",
		"a/0/1",
		"a/1/0",
		"a/01/1",
		"a/1/+1",
		"a/1/ 1",
		"a/1/1 ",
		"a/1/1/1",
		"a/-1/1",
		"a/18446744073709551616/1",
		"0123456789012345678901234567890123456789012345678/1/1",
	};
	struct br_attempt_id id;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		cr_assert_eq(br_attempt_id_parse(bad[i], &id), -EINVAL, "%s", bad[i]);
}
