#include "briarreel/version.h"

const char *br_version(void)
{
	return BR_VERSION;
}
