/*
 * Randomly changed input for every decoder of bytes from outside, under AddressSanitizer and UBSan:
 * nothing may crash, leak or ask for memory without bound. BR_SEED runs one seed. `make fuzz` does
 * the same with libFuzzer.
 */
#include "tests/fuzz/targets.h"

#include "briarreel/types.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#define SEEDS 4
#define ROUNDS 4000
#define INPUT_MAX 8192
#define CHANGES_MAX 6

/* Pieces that have been trouble for decoders elsewhere. */
static const char *const pieces[] = {
	"1e999",
	"-1",
	"99999999999999999999999999",
	"0",
	"null",
	"{}",
	"[]",
	"\"\"",
	"\\u0000",
	"\xff\xfe",
	"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
	"{\"a\":{\"a\":{\"a\":",
	":70000",
	":8080x",
	"%s%n",
	"\xdd\xff\xff\xff\xff",
	"\xdf\xff\xff\xff\xff",
	"\xdb\xff\xff\xff\xff",
	"=",
	",",
	"\n",
	"nan",
	"inf",
	"4294967296",
	"18446744073709551616",
};

struct input {
	char bytes[INPUT_MAX];
	size_t len;
};

static void replace(struct input *in, size_t at, size_t cut, const char *piece, size_t len)
{
	if (cut > in->len - at)
		cut = in->len - at;
	if (in->len - cut + len > INPUT_MAX)
		return;
	memmove(in->bytes + at + len, in->bytes + at + cut, in->len - at - cut);
	memcpy(in->bytes + at, piece, len);
	in->len += len - cut;
}

static void change(struct input *in, struct br_rng *rng)
{
	const char *piece = pieces[br_rng_below(rng, sizeof(pieces) / sizeof(pieces[0]))];
	size_t at = br_rng_below(rng, in->len + 1), other = br_rng_below(rng, in->len + 1);
	char byte = (char)br_rng_below(rng, 256), copy[64];
	size_t n = br_rng_below(rng, sizeof(copy));

	switch (br_rng_below(rng, 6)) {
	case 0:
		replace(in, at, 1, &byte, 1);
		break;
	case 1:
		replace(in, at, n, "", 0);
		break;
	case 2:
		replace(in, at, 0, piece, strlen(piece));
		break;
	case 3:
		replace(in, at, br_rng_below(rng, 12), piece, strlen(piece));
		break;
	case 4:
		if (n > in->len - other)
			n = in->len - other;
		memcpy(copy, in->bytes + other, n);
		replace(in, at, 0, copy, n);
		break;
	default:
		in->len = at;
		break;
	}
}

static void run_seed(uint64_t seed)
{
	static struct input in;
	struct br_rng rng;

	br_rng_seed(&rng, seed);
	for (size_t t = 0; t < FUZZ_TARGETS; t++) {
		const struct fuzz_target *target = &fuzz_targets[t];

		for (int round = 0; round < ROUNDS; round++) {
			const struct fuzz_input *from =
				&target->seeds[br_rng_below(&rng, target->n_seeds)];
			uint64_t changes = br_rng_below(&rng, CHANGES_MAX);

			memcpy(in.bytes, from->bytes, from->len);
			in.len = from->len;
			for (uint64_t i = 0; i < changes; i++)
				change(&in, &rng);
			target->run(in.bytes, in.len);
		}
	}
}

Test(decoders, randomly_changed_input)
{
	const char *single_seed = getenv("BR_SEED");
	int null = open("/dev/null", O_WRONLY | O_CLOEXEC);

	/* The decoders log what they cannot read. */
	cr_assert_geq(null, 0);
	cr_assert_geq(dup2(null, STDOUT_FILENO), 0);
	if (single_seed)
		run_seed(strtoull(single_seed, NULL, 10));
	for (uint64_t seed = 1; !single_seed && seed <= SEEDS; seed++)
		run_seed(seed);
}
