/**
 * @file clock.h
 * Clocks of the programs. The library reads no clock: its functions take the time as a parameter.
 */
#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>

/** Monotonic time in microseconds. Advances during suspend, so that leases expire then too. */
uint64_t clock_now_us(void);

/** Wall-clock time in milliseconds since the Unix epoch. */
uint64_t clock_wall_ms(void);

/** Sleeps for ms milliseconds, or less if a signal handler runs. */
void clock_sleep_ms(uint32_t ms);

#endif
