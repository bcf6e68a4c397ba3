/**
 * @file clock.h
 * The process's clocks; the library itself has none.
 */
#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>

/** Monotonic time in microseconds; counts time suspended, so that leases lapse in a pause. */
uint64_t clock_now_us(void);

/** Wall-clock time in milliseconds since the Unix epoch. */
uint64_t clock_wall_ms(void);

/** Sleeps for ms milliseconds. */
void clock_sleep_ms(uint32_t ms);

#endif
