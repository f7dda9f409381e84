// Tuned constants of the decisions. "Aim" is the tightest aim of any class, as the settings tell it.
#pragma once

#include <cmath>
#include <cstddef>
#include <limits>

namespace limedrum {

inline constexpr double kRoundMs = 2000;    // ms: the design's default round
inline constexpr double kTargetLoad = 1.0;  // of the learned rate: the pool of a pressured node
inline constexpr double kDrainLoad =
    0.9;  // the same while most answers are late everywhere: the queue must drain
inline constexpr double kRateProbe =
    1.15;  // per round: rise of a rate that is asked for more and answers in time
inline constexpr double kFewRequests = 3;  // requests a round: the least slice of a pool
inline constexpr double kFewOut = 2;       // requests out at a node at least: one in work, one on its way
inline constexpr double kFewPressed = 1;   // the same at a pressured node: the other hosts' keep it busy
inline constexpr int kCeiling = 32;        // requests of one host out at a node, the design's ceiling
inline constexpr double kBoundAimPart =
    0.5;  // of the aim: work out at a node, the rest is for pauses and travel
inline constexpr double kPressAimPart = 0.5;  // of the aim: answers this much over the usual mean pressure
inline constexpr double kHeldAimPart = 0.5;   // of the aim: a wait at the bound that means pressure
inline constexpr double kPressHoldMs = 250;   // ms: pressure outlasts its last sign by this, against flapping
inline constexpr double kDelayGain = 0.2;     // per answer: least weight in the smoothed delay
inline constexpr double kSeldomMs = 500;      // ms without an answer: what others feel counts
inline constexpr double kMeasureMs = 250;     // ms under pressure that make a measure of a host's own
inline constexpr double kDelayMs = 500;       // ms since the last answer that give a new one its full weight
inline constexpr double kUsualStep = 0.05;  // per answer: step of the quantile that tracks usual time a unit
inline constexpr double kUsualQuantile =
    0.3;                                     // the usual is a fast answer: repeats of a key are cheaper still
inline constexpr double kRateGain = 0.4;     // per round: weight of a new measure of a pressured node's rate
inline constexpr double kPressedMost = 0.5;  // of the units served: under pressure, they measure the rate
inline constexpr int kBidRounds = 3;      // rounds that the last sum of bids stands when no newer one arrives
inline constexpr double kCollectMs = 60;  // ms after a round's start in which its bids are gathered
inline constexpr double kEarlyPart =
    0.25;  // of a round: the offer seen so far counts as if over this at least
inline constexpr double kRefreshMs =
    100;  // ms: age at which the chances of a node's volumes are worked out anew
inline constexpr double kComeBackMs = 100;  // ms: what a refusal advises; the chances are other ones by then
inline constexpr double kSilentAims = 4;    // aims without any answer: the node counts as silent
inline constexpr double kOwedAims = 2;      // the same: what is out there counts as pressed
inline constexpr int kSilentSends =
    3;  // sends without any answer, at least: one or two may just have lost it
inline constexpr double kPatienceAims = 0.75;  // aims before an attempt may be held for lost, at least
inline constexpr double kPatienceUsual = 3;    // times the usual answer time and delay, at least
inline constexpr double kLongSilence =
    3;  // times the silence limit: a restart, not a pause, is the likely cause
inline constexpr double kListLagMs = 5000;  // ms: the list tells a restart within this, mostly
inline constexpr double kHoldPart = 0.45;   // of its time: a request without an attempt by then is given up
inline constexpr double kShedHope = 1.6;    // times the own part: other hosts leave some of theirs unused
inline constexpr double kTrickleMs = 500;   // ms between attempts at a silent node
inline constexpr double kSweepMs = 10;      // ms between looks at held work
inline constexpr double kRetryAimPart = 0.25;  // of the aim: rest before a request's next attempt
inline constexpr double kAskAgainMs = 1000;    // ms before a failed subscription is asked for again
inline constexpr double kAskLostMs = 6000;     // ms without an answer to it: asked for again
inline constexpr double kOwnPart = 0.25;       // of a shared budget: split evenly for use without a word
inline constexpr int kKeepers = 2;             // hosts that deal the rest out, in equal parts
inline constexpr double kValidMs = 100;        // ms from asking: what was dealt is void after it
inline constexpr double kPriorUnits = 6;  // units that an even split of a volume weighs against what was seen
inline constexpr double kLateTryMs =
    5;  // ms: a life shorter than the class's by more shows a client's repeat
inline constexpr std::size_t kLooks =
    32;  // cells looked at for a new object; of more a quarter of so many, drawn
inline constexpr double kLinkedMs = 8000;       // ms since an answer: a connection is likely still there
inline constexpr double kNewLinkAimPart = 0.1;  // of the aim: what a new one costs a new object
inline constexpr double kSpillAimPart = 0.25;   // of the aim: a wait for a cold holder's budget
inline constexpr double kAbsurd = 1e6;          // units a round that no host can mean

inline constexpr double kNever = std::numeric_limits<double>::infinity();

inline double finiteOr(double value, double otherwise) { return std::isfinite(value) ? value : otherwise; }

}  // namespace limedrum
