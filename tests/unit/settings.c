#include "common/settings.h"
#include "briarreel/error.h"

#include <criterion/criterion.h>
#include <errno.h>
#include <string.h>

struct sample {
	uint32_t port;
	char name[8];
	char listen[48];
	struct settings_addresses seeds;
	bool verbose;
};

static const struct settings_key keys[] = {
	{"port", SETTINGS_U32, offsetof(struct sample, port), 1, 100, 7, false},
	{"name", SETTINGS_TEXT, offsetof(struct sample, name), 0, 8, 0, true},
	{"listen", SETTINGS_ADDRESS, offsetof(struct sample, listen), 0, 48, 0, false},
	{"seeds", SETTINGS_ADDRESSES, offsetof(struct sample, seeds), 0, 0, 0, false},
	{"verbose", SETTINGS_BOOL, offsetof(struct sample, verbose), 0, 0, 0, false},
};

struct fault {
	const char *text;
	const char *expected;
};

/* Each malformed file is refused with a message that names the key and the value. */
Test(settings, refuses_bad_files)
{
	static const struct fault faults[] = {
		{"{", "not a JSON object"},
		{"[1]", "not a JSON object"},
		{"{\"port\": 3}", "f: name: key is missing"},
		{"{\"name\": \"a\", \"prot\": 3}", "f: prot: 3: unknown key"},
		{"{\"name\": \"a\", \"port\": 0}",
		 "f: port: 0: must be a whole number from 1 to 100"},
		{"{\"name\": \"a\", \"port\": 1.5}", "must be a whole number"},
		{"{\"name\": \"a\", \"port\": \"3\"}", "f: port: \"3\": must be a whole number"},
		{"{\"name\": \"a\", \"name\": \"b\"}", "f: name: key is repeated"},
		{"{\"name\": \"\"}", "must be a text that is not empty"},
		{"{\"name\": \"abcdefgh\"}", "is too long"},
		{"{\"name\": \"a\", \"listen\": \"host:80\"}",
		 "must be an IPv4 address and a port"},
		{"{\"name\": \"a\", \"seeds\": [\"1.2.3.4\"]}", "must be an IPv4 address"},
		{"{\"name\": \"a\", \"verbose\": 1}", "must be true or false"},
	};

	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		struct sample out = {0};
		struct br_error err = {0};

		cr_assert_eq(settings_parse("f", faults[i].text, keys, 5, &out, &err), -EINVAL,
			     "%s", faults[i].text);
		cr_assert(strstr(err.detail, faults[i].expected), "%s: %s", faults[i].text,
			  err.detail);
	}
}

Test(settings, reads_comments_and_defaults)
{
	const char *text = "// first\n{\"name\": \"a\", /* \"name\": */ \"seeds\": [\"1.2.3.4:5\"],"
			   "\"listen\": \"127.0.0.1:80\", \"verbose\": true}";
	struct sample out = {0};
	struct br_error err = {0};

	cr_assert_eq(settings_parse("f", text, keys, 5, &out, &err), 0, "%s", err.detail);
	cr_assert_eq(out.port, 7);
	cr_assert_str_eq(out.seeds.text[0], "1.2.3.4:5");
	cr_assert(out.verbose);
}
