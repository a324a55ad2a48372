#include "flow/heartbeat_period.h"

/** Period for balancers of the local failure domain, in ms: a base, and an
 * addition for each balancer there, larger for those beyond SMALL_COUNT. It
 * grows with the number of balancers, so that the heartbeats that an agent
 * sends do not. */
#define BASE_MS 400
#define PER_BALANCER_MS 25
#define SMALL_COUNT 16
#define PER_FURTHER_BALANCER_MS 130
#define MAX_MS 60000
/** The period for balancers of other failure domains is this many times as
 * long: traffic between domains is expensive, and these balancers use this
 * agent only when the agents of their own domain are full. */
#define REMOTE_FACTOR 3
/** The addition to the remote period for each balancer beyond FEW_COUNT, before
 * the factor, in ms. */
#define REMOTE_PER_FURTHER_BALANCER_MS 60
/** With at most this many balancers, an agent that has just started sends
 * heartbeats to remote balancers as often as to local ones. */
#define FEW_COUNT 32
/** Period while balancers are still being discovered, in ms, and its least
 * value for each balancer, so that many agents that start together do not flood
 * the balancers. */
#define STARTUP_MS 250
#define STARTUP_PER_BALANCER_MS 10

static uint64_t
excess(uint64_t count, uint64_t most)
{
	return count > most ? count - most : 0;
}

static uint64_t
min_ms(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

uint64_t
heartbeat_local_ms(uint64_t balancers)
{
	uint64_t further = excess(balancers, SMALL_COUNT);

	return min_ms(BASE_MS + PER_BALANCER_MS * (balancers - further) +
			  PER_FURTHER_BALANCER_MS * further,
	    MAX_MS);
}

uint64_t
heartbeat_remote_ms(uint64_t balancers)
{
	uint64_t further = excess(balancers, FEW_COUNT);
	uint64_t ms = BASE_MS + PER_BALANCER_MS * (balancers - further) +
		      REMOTE_PER_FURTHER_BALANCER_MS * further;

	return min_ms(REMOTE_FACTOR * ms, MAX_MS);
}

static uint64_t
startup_ms(uint64_t balancers)
{
	uint64_t ms = STARTUP_PER_BALANCER_MS * balancers;

	return ms > STARTUP_MS ? ms : STARTUP_MS;
}

uint64_t
heartbeat_startup_local_ms(uint64_t balancers)
{
	return min_ms(heartbeat_local_ms(balancers), startup_ms(balancers));
}

uint64_t
heartbeat_startup_remote_ms(uint64_t balancers)
{
	uint64_t ms = startup_ms(balancers);

	if (balancers > FEW_COUNT)
		ms *= REMOTE_FACTOR;
	return min_ms(heartbeat_remote_ms(balancers), ms);
}
