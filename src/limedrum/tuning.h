// Constants of the scheduling decisions, in groups: rates, overload, rounds, failure detection, retries,
// shared budgets and placement. "Aim" below is the tightest aim (target answer time) of all classes in the
// settings.
#pragma once

#include <cmath>
#include <cstddef>
#include <limits>

namespace limedrum {

inline constexpr double kRoundMs = 2000;  // ms; must be the same on all hosts

// The tokens of a round for an overloaded node, as a factor of its learned rate.
inline constexpr double kTargetUtilization = 1.0;

// Used instead of kTargetUtilization while most answers of all hosts are late, so that the backlog drains.
inline constexpr double kBacklogDrainUtilization = 0.9;

// Limits how fast a learned rate rises per round while the node is asked for more and is not saturated.
inline constexpr double kRateProbeFactor = 1.15;

inline constexpr double kMinRequestsPerRound = 3;  // mean requests; minimum share of a node's tokens

// Requests that a host may always have in flight at a node: one being served and one on its way.
inline constexpr double kMinInFlight = 2;

// Used instead of kMinInFlight at an overloaded node, which the other hosts' requests keep busy.
inline constexpr double kMinInFlightOverloaded = 1;

inline constexpr int kMaxInFlightPerNode = 32;  // requests of this host in flight at one node

// Work in flight at a node, as a fraction of the aim; the rest is left for pauses and transport.
inline constexpr double kInFlightAimFraction = 0.5;

// A node counts as overloaded if its smoothed delay over the usual answer time exceeds this part of the aim.
inline constexpr double kOverloadDelayAimFraction = 0.5;

// A node counts as overloaded if a request waits longer than this part of the aim for an in-flight slot.
inline constexpr double kOverloadQueueWaitAimFraction = 0.5;

inline constexpr double kOverloadHoldMs = 250;  // ms that overload outlasts its last sign; avoids flapping
inline constexpr double kDelayEwmaMinWeight = 0.2;  // per answer: minimum weight in the smoothed delay

// Without an answer for this many ms, a host relies on the overload that the bid sums report.
inline constexpr double kOwnObservationMaxAgeMs = 500;

// A host's own throughput counts as a rate sample if it observed overload for this many ms of the round.
inline constexpr double kMinRateSampleMs = 250;

// After this many ms without an answer, a new one replaces the smoothed delay entirely.
inline constexpr double kDelayEwmaFullWeightMs = 500;

inline constexpr double kUnitTimeQuantileStep = 0.05;  // per answer: relative step of the time per unit

// The usual time per unit follows a low quantile, since repeats of a key are cheaper than the first request.
inline constexpr double kUnitTimeQuantile = 0.3;

inline constexpr double kRateEwmaWeight = 0.4;  // per round: weight of a new rate sample

// A node is saturated if more than this fraction of its served units was served under overload.
inline constexpr double kOverloadedServedFraction = 0.5;

inline constexpr int kBidSumMaxAgeRounds = 3;   // rounds for which a bid sum stays valid
inline constexpr double kBidCollectionMs = 60;  // ms from the start of a round until bids are summed

// Early in a round, the demand seen so far is divided by at least this fraction of the round.
inline constexpr double kMinElapsedRoundFraction = 0.25;

inline constexpr double kAdmissionRefreshMs = 100;  // ms between updates of admission probabilities

// Retry-after of a refusal in ms; by then, the admission probabilities have been updated.
inline constexpr double kRefusalRetryAfterMs = 100;

// A node is silent after this many aims without an answer, if kMinSendsForSilence is reached too.
inline constexpr double kSilentAfterAims = 4;

// After this many aims without an answer, the units in flight at a node count as served under overload.
inline constexpr double kUnansweredOverloadAims = 2;

// Attempts without an answer before a node is silent: one or two may merely have lost their answers.
inline constexpr int kMinSendsForSilence = 3;

inline constexpr double kLossTimeoutMinAims = 0.75;   // aims; minimum time before an attempt counts as lost
inline constexpr double kLossTimeoutAnswerTimes = 3;  // expected answer times before an attempt is lost

// A silence longer than this many times the silence limit is taken for a restart, not for a pause.
inline constexpr double kRestartSilenceFactor = 3;

inline constexpr double kNodeListLagMs = 5000;  // ms within which the node list mostly reports a restart

// A request without an attempt is given up after this fraction of its time.
inline constexpr double kFirstAttemptTimeFraction = 0.45;

// Factor on this host's token share when shedding: other hosts leave part of their shares unused.
inline constexpr double kShedOvercommitFactor = 1.6;

inline constexpr double kSilentNodeAttemptIntervalMs = 500;  // ms between attempts at a silent node
inline constexpr double kSweepIntervalMs = 10;               // ms between checks of queued requests
inline constexpr double kRetryDelayAimFraction = 0.25;       // fraction of the aim; delay before a retry

// Delay in ms before a lost node list subscription is renewed; multiplied by a random factor of 1 to 2.
inline constexpr double kResubscribeDelayMs = 1000;

inline constexpr double kSubscribeTimeoutMs = 6000;  // ms without an answer before subscribing again

// Fraction of a shared budget that is split evenly among the hosts and used without asking.
inline constexpr double kLocalBudgetFraction = 0.25;

inline constexpr int kBudgetCoordinators = 2;    // hosts that grant the rest of a budget, in equal parts
inline constexpr double kGrantLifetimeMs = 100;  // ms from the request for a grant until the grant expires

// Weight in units of an even split among a volume's hosts, against the units that were seen served.
inline constexpr double kEvenSplitPriorUnits = 6;

// A remaining time shorter than the class's longest by more than this many ms marks a client's retry.
inline constexpr double kClientRetryMinAgeMs = 5;

// Maximum number of cells to compare for a new object. Where there are more cells, at most this many are
// drawn, until a quarter of the number can serve.
inline constexpr std::size_t kMaxPlacementSamples = 32;

// Connections are expected to be open for this many ms after an answer.
inline constexpr double kConnectionLikelyOpenMs = 8000;

// Expected cost of a new connection when a new object is placed, as a fraction of the aim.
inline constexpr double kNewConnectionAimFraction = 0.1;

// A request that waits longer than this part of the aim for a cold holder's budget is routed elsewhere.
inline constexpr double kColdBudgetWaitAimFraction = 0.25;

inline constexpr double kMaxPlausibleUnits = 1e6;  // units per round; bounds figures that others report

inline constexpr double kNever = std::numeric_limits<double>::infinity();

// Returns `fallback` if `value` is infinite or not a number.
inline double finiteOr(double value, double fallback) { return std::isfinite(value) ? value : fallback; }

}  // namespace limedrum
