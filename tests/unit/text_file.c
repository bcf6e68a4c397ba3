#include "common/text_file.h"

#include "briarreel/error.h"
#include "common/settings.h"
#include "platform/decode.h"

#include <criterion/criterion.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MEBIBYTE (1UL << 20)

/* Writes a file of text, then spaces up to len bytes in total, and returns its path. */
static const char *write_file(const char *text, size_t text_len, size_t len)
{
	static char path[64];
	FILE *f;
	int fd;

	snprintf(path, sizeof(path), "/tmp/briarreel-text-XXXXXX");
	fd = mkstemp(path);
	cr_assert_geq(fd, 0);
	f = fdopen(fd, "w");
	cr_assert_eq(fwrite(text, 1, text_len, f), text_len);
	for (size_t i = text_len; i < len; i++)
		fputc(' ', f);
	cr_assert_eq(fclose(f), 0);
	return path;
}

Test(text_file, reads_up_to_the_limit)
{
	const char *path = write_file("abc", 3, 10);
	struct br_error err = {0};
	char *text;

	cr_assert_eq(text_file_read(path, 10, &text, &err), 0, "%s", err.detail);
	cr_assert_str_eq(text, "abc       ");
	free(text);
	cr_assert_eq(text_file_read(path, 9, &text, &err), -EFBIG);
	cr_assert(strstr(err.detail, "longer than 9 bytes"));
	unlink(path);
}

Test(text_file, refuses_what_it_cannot_read_whole)
{
	const char *path = write_file("a\0b", 3, 3);
	struct br_error err = {0};
	char *text;

	cr_assert_eq(text_file_read(path, 10, &text, &err), -EINVAL);
	unlink(path);
	cr_assert_eq(text_file_read(path, 10, &text, &err), -ENOENT);
	cr_assert_eq(text_file_read("/tmp", 10, &text, &err), -EISDIR);
}

/* Guards against settings that are cut off silently where a file is too long. */
Test(text_file, long_settings_are_refused)
{
	static const struct settings_key keys[] = {
		{"port", SETTINGS_U32, 0, 1, 100, 7, false},
	};
	struct mesh_settings mesh;
	struct br_error err = {0};
	uint32_t port;
	const char *path = write_file("{\"port\": 3}", 11, MEBIBYTE + 1);

	cr_assert_eq(settings_read(path, keys, 1, &port, &err), -EFBIG, "%s", err.detail);
	cr_assert_eq(platform_read_settings(path, &mesh, &err), -EFBIG, "%s", err.detail);
	unlink(path);
}
