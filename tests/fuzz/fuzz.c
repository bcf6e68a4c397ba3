/* Entry points for libFuzzer; FUZZ_TARGET in the environment selects the decoder. */
#include "tests/fuzz/targets.h"

#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static const struct fuzz_target *target;

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	const char *name = getenv("FUZZ_TARGET");
	int null = open("/dev/null", O_WRONLY | O_CLOEXEC);

	(void)argc;
	(void)argv;
	for (size_t i = 0; name && i < FUZZ_TARGETS; i++)
		if (!strcmp(fuzz_targets[i].name, name))
			target = &fuzz_targets[i];
	if (!target) {
		fprintf(stderr, "FUZZ_TARGET: \"%s\" is no decoder\n", name ? name : "");
		exit(2);
	}
	/* The decoders log what they cannot read. */
	if (null >= 0)
		dup2(null, STDOUT_FILENO);
	for (size_t i = 0; i < target->n_seeds; i++)
		target->run(target->seeds[i].bytes, target->seeds[i].len);
	return 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	target->run((const char *)data, len);
	return 0;
}
