// Tuned constants of the decisions. "Aim" is the tightest aim of any class, as the settings tell it.
#pragma once

#include <cmath>
#include <cstddef>
#include <limits>

namespace limedrum {

inline constexpr double kRoundMs = 2000;           // ms: the design's default round
inline constexpr double kTargetUtilization = 1.0;  // of the learned rate: the pool of a pressured node
inline constexpr double kBacklogDrainUtilization =
    0.9;  // the same while most answers are late everywhere: the queue must drain
inline constexpr double kRateProbeFactor =
    1.15;  // per round: rise of a rate that is asked for more and answers in time
inline constexpr double kMinRequestsPerRound = 3;  // requests a round: the least slice of a pool
inline constexpr double kMinInFlight = 2;  // requests out at a node at least: one in work, one on its way
inline constexpr double kMinInFlightOverloaded =
    1;                                          // the same at a pressured node: the other hosts' keep it busy
inline constexpr int kMaxInFlightPerNode = 32;  // requests of one host out at a node, the design's ceiling
inline constexpr double kInFlightAimFraction =
    0.5;  // of the aim: work out at a node, the rest is for pauses and travel
inline constexpr double kOverloadDelayAimFraction =
    0.5;  // of the aim: answers this much over the usual mean pressure
inline constexpr double kOverloadQueueWaitAimFraction =
    0.5;  // of the aim: a wait at the bound that means pressure
inline constexpr double kOverloadHoldMs =
    250;  // ms: pressure outlasts its last sign by this, against flapping
inline constexpr double kDelayEwmaMinWeight = 0.2;      // per answer: least weight in the smoothed delay
inline constexpr double kOwnObservationMaxAgeMs = 500;  // ms without an answer: what others feel counts
inline constexpr double kMinRateSampleMs = 250;  // ms under pressure that make a measure of a host's own
inline constexpr double kDelayEwmaFullWeightMs =
    500;  // ms since the last answer that give a new one its full weight
inline constexpr double kUnitTimeQuantileStep =
    0.05;  // per answer: step of the quantile that tracks usual time a unit
inline constexpr double kUnitTimeQuantile =
    0.3;  // the usual is a fast answer: repeats of a key are cheaper still
inline constexpr double kRateEwmaWeight =
    0.4;  // per round: weight of a new measure of a pressured node's rate
inline constexpr double kOverloadedServedFraction =
    0.5;  // of the units served: under pressure, they measure the rate
inline constexpr int kBidSumMaxAgeRounds =
    3;  // rounds that the last sum of bids stands when no newer one arrives
inline constexpr double kBidCollectionMs = 60;  // ms after a round's start in which its bids are gathered
inline constexpr double kMinElapsedRoundFraction =
    0.25;  // of a round: the offer seen so far counts as if over this at least
inline constexpr double kAdmissionRefreshMs =
    100;  // ms: age at which the chances of a node's volumes are worked out anew
inline constexpr double kRefusalRetryAfterMs =
    100;  // ms: what a refusal advises; the chances are other ones by then
inline constexpr double kSilentAfterAims = 4;         // aims without any answer: the node counts as silent
inline constexpr double kUnansweredOverloadAims = 2;  // the same: what is out there counts as pressed
inline constexpr int kMinSendsForSilence =
    3;  // sends without any answer, at least: one or two may just have lost it
inline constexpr double kLossTimeoutMinAims = 0.75;   // aims before an attempt may be held for lost, at least
inline constexpr double kLossTimeoutAnswerTimes = 3;  // times the usual answer time and delay, at least
inline constexpr double kRestartSilenceFactor =
    3;  // times the silence limit: a restart, not a pause, is the likely cause
inline constexpr double kNodeListLagMs = 5000;  // ms: the list tells a restart within this, mostly
inline constexpr double kFirstAttemptTimeFraction =
    0.45;  // of its time: a request without an attempt by then is given up
inline constexpr double kShedOvercommitFactor =
    1.6;  // times the own part: other hosts leave some of theirs unused
inline constexpr double kSilentNodeAttemptIntervalMs = 500;  // ms between attempts at a silent node
inline constexpr double kSweepIntervalMs = 10;               // ms between looks at held work
inline constexpr double kRetryDelayAimFraction = 0.25;  // of the aim: rest before a request's next attempt
inline constexpr double kResubscribeDelayMs = 1000;     // ms before a failed subscription is asked for again
inline constexpr double kSubscribeTimeoutMs = 6000;     // ms without an answer to it: asked for again
inline constexpr double kLocalBudgetFraction =
    0.25;                                        // of a shared budget: split evenly for use without a word
inline constexpr int kBudgetCoordinators = 2;    // hosts that deal the rest out, in equal parts
inline constexpr double kGrantLifetimeMs = 100;  // ms from asking: what was dealt is void after it
inline constexpr double kEvenSplitPriorUnits =
    6;  // units that an even split of a volume weighs against what was seen
inline constexpr double kClientRetryMinAgeMs =
    5;  // ms: a life shorter than the class's by more shows a client's repeat
inline constexpr std::size_t kMaxPlacementSamples =
    32;  // cells looked at for a new object; of more a quarter of so many, drawn
inline constexpr double kConnectionLikelyOpenMs =
    8000;  // ms since an answer: a connection is likely still there
inline constexpr double kNewConnectionAimFraction = 0.1;    // of the aim: what a new one costs a new object
inline constexpr double kColdBudgetWaitAimFraction = 0.25;  // of the aim: a wait for a cold holder's budget
inline constexpr double kMaxPlausibleUnits = 1e6;           // units a round that no host can mean

inline constexpr double kNever = std::numeric_limits<double>::infinity();

inline double finiteOr(double value, double otherwise) { return std::isfinite(value) ? value : otherwise; }

}  // namespace limedrum
