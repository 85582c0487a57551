//! The record of what the peers of a controller observe, and the checks of the rules against it.

use super::send_trace::StoppedSend;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Tolerance of the platform on every time limit.
pub const SLACK: Duration = Duration::from_millis(50);
/// The time limit sent to an invoker may exceed the client's remaining time by this.
const LIMIT_SLACK: Duration = Duration::from_millis(150);
/// No attempt is sent later than this after its client abandoned the request.
const ABANDONED_SLACK: Duration = Duration::from_millis(100);
/// As configured for the controller.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);
pub const ORDER_WINDOW: Duration = Duration::from_secs(5);
/// Another thread of the test observes the end of an abandoned attempt than the arrival of the next; it may lag by this.
const OBSERVATION_DELAY_MAX: Duration = Duration::from_millis(20);
const REPEAT_WINDOW: Duration = Duration::from_secs(2);
const ORDERS_FREE: f64 = 3.0;
const ORDERS_SHARE: f64 = 0.1;
/// Tolerances of the platform on the budget of load orders.
const BUDGET_FACTOR: f64 = 1.15;
const BUDGET_EXTRA_ORDERS: f64 = 1.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Tokened,
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    Served,
    Refused,
    Failed,
}

/// A request as observed by its client.
#[derive(Debug)]
pub struct Request {
    /// When its connection was opened.
    pub connected: Instant,
    /// When it was written to the socket completely.
    pub sent_at: Instant,
    pub limit: Duration,
    pub effect: Effect,
    /// The first one counts; any further one is a violation.
    pub answers: Vec<(Instant, Code)>,
    /// When it was cancelled, or its client closed the connection.
    pub abandoned_at: Option<Instant>,
    /// When the controller closed its connection without an answer.
    pub dropped_at: Option<Instant>,
}

/// An attempt as observed by its invoker.
#[derive(Debug)]
pub struct Attempt {
    pub id: u64,
    pub arrived: Instant,
    pub ended: Instant,
    pub told_limit: Duration,
    pub provably_never_ran: bool,
    pub invoker: usize,
}

/// A time span in which no new work may arrive at an invoker.
#[derive(Debug)]
pub struct NotReadySpan {
    pub invoker: usize,
    /// Start, with grace and slack included.
    pub from: Instant,
    /// End; none: the end of the test.
    pub until: Option<Instant>,
}

impl NotReadySpan {
    /// Begins at `reported`, when the status was reported to the controller or counts as reported.
    pub fn since(invoker: usize, reported: Instant) -> Self {
        let from = reported + DRAIN_GRACE + SLACK;
        Self {
            invoker,
            from,
            until: None,
        }
    }

    fn forbids(&self, invoker: usize, at: Instant) -> bool {
        invoker == self.invoker && at > self.from && self.until.is_none_or(|until| at < until)
    }
}

/// All observations of one run.
#[derive(Default)]
pub struct Record {
    pub requests: BTreeMap<u64, Request>,
    pub attempts: Vec<Attempt>,
    /// When each load order arrived, and at which invoker.
    pub orders: Vec<(Instant, usize)>,
    /// When invokers may receive no new work.
    pub not_ready: Vec<NotReadySpan>,
    /// When the process was stopped, or ran only in short slices.
    pub stops: Vec<(Instant, Instant)>,
    /// When it was killed: it owes nothing for the requests it had then, and its budget of load orders starts over.
    pub kills: Vec<Instant>,
    /// Attempts that were sent after a stop that the process could not detect.
    pub stopped_sends: Vec<StoppedSend>,
    /// A request that is younger than this when its connection is closed crossed the close, and its client sends it again.
    /// Zero: no such requests.
    pub close_crossing: Duration,
}

/// Milliseconds from `from` to `at`; negative if `at` is earlier.
fn millis_between(at: Instant, from: Instant) -> i128 {
    let later = at.saturating_duration_since(from).as_millis() as i128;
    later - from.saturating_duration_since(at).as_millis() as i128
}

impl Record {
    /// Whether the process ran without a stop between two times.
    fn ran_throughout(&self, from: Instant, to: Instant) -> bool {
        self.stops
            .iter()
            .all(|(began, ended)| *ended <= from || *began >= to)
    }

    /// Whether the process was killed between two times.
    fn was_killed(&self, from: Instant, to: Instant) -> bool {
        self.kills.iter().any(|kill| *kill >= from && *kill < to)
    }

    /// Describes each violation of a rule.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        self.check_answers(&mut violations);
        self.check_effects(&mut violations);
        self.check_attempts(&mut violations);
        self.check_load_orders(&mut violations);
        violations.extend(self.work_past_grace());
        violations
    }

    /// The number of requests within a span, and of those served in time.
    pub fn served_within(&self, from: Instant, to: Instant) -> (usize, usize) {
        let requests = self
            .requests
            .values()
            .filter(|r| r.sent_at >= from && r.sent_at < to && r.abandoned_at.is_none());
        let served = requests.clone().filter(|r| {
            r.answers
                .first()
                .is_some_and(|answer| answer.1 == Code::Served && answer.0 <= r.sent_at + r.limit)
        });
        (requests.count(), served.count())
    }

    /// Whether the request crossed the close of its connection.
    fn crosses_close(&self, request: &Request) -> bool {
        let age = request.dropped_at.map(|at| at - request.sent_at);
        request.answers.is_empty() && age.is_some_and(|age| age < self.close_crossing)
    }

    /// Rule 1: one answer in time.
    fn check_answers(&self, violations: &mut Vec<String>) {
        for (id, request) in &self.requests {
            if request.answers.len() > 1 {
                violations.push(format!("{id}: {} answers", request.answers.len()));
            }
            let deadline = request.sent_at + request.limit + SLACK;
            // A request on a connection of a killed process was never accepted.
            if self.was_killed(request.connected, deadline) {
                continue;
            }
            if self.crosses_close(request) {
                continue;
            }
            let is_owed = request
                .abandoned_at
                .is_none_or(|abandoned_at| abandoned_at >= deadline)
                && self.ran_throughout(request.sent_at, deadline);
            let in_time = request
                .answers
                .first()
                .is_some_and(|answer| answer.0 <= deadline);
            if is_owed && !in_time {
                let latency = request
                    .answers
                    .first()
                    .map(|answer| answer.0 - request.sent_at);
                violations.push(format!(
                    "{id}: limit {:?}, answered after {latency:?}",
                    request.limit
                ));
            }
            if request.dropped_at.is_some()
                && request.answers.is_empty()
                && request.abandoned_at.is_none()
            {
                violations.push(format!("{id}: its connection ended without an answer"));
            }
        }
    }

    /// The stops that overlap a span, in milliseconds since its start.
    fn stops_within(&self, from: Instant, to: Instant) -> Vec<(i128, i128)> {
        let stops = self.stops.iter();
        let overlapping = stops.filter(|(began, ended)| *began <= to && *ended >= from);
        overlapping
            .map(|(began, ended)| (millis_between(*began, from), millis_between(*ended, from)))
            .collect()
    }

    /// The attempts of each request in order of arrival. They are recorded in the order in which they ended.
    fn attempts_by_request(&self) -> BTreeMap<u64, Vec<&Attempt>> {
        let mut by_request = BTreeMap::<u64, Vec<&Attempt>>::new();
        for attempt in &self.attempts {
            by_request.entry(attempt.id).or_default().push(attempt);
        }
        for attempts in by_request.values_mut() {
            attempts.sort_by_key(|attempt| attempt.arrived);
        }
        by_request
    }

    /// Rule 2: no double effect.
    fn check_effects(&self, violations: &mut Vec<String>) {
        for (id, attempts) in self.attempts_by_request() {
            let request = &self.requests[&id];
            let first_that_may_have_run = attempts.iter().find(|a| !a.provably_never_ran);
            let is_refused = request
                .answers
                .iter()
                .any(|answer| answer.1 == Code::Refused);
            if is_refused
                && first_that_may_have_run.is_some()
                && request.effect == Effect::NonIdempotent
            {
                violations.push(format!("{id}: refused, and may have run"));
            }
            for (index, after) in attempts.iter().enumerate() {
                let earlier = attempts[..index].iter().max_by_key(|before| before.ended);
                if let Some(before) = earlier {
                    violations.extend(self.two_in_flight(request.effect, before, after));
                }
                let Some(first) =
                    first_that_may_have_run.filter(|first| first.arrived < after.arrived)
                else {
                    continue;
                };
                let is_past_window = after.arrived > first.arrived + REPEAT_WINDOW + SLACK;
                match request.effect {
                    Effect::NonIdempotent => {
                        violations.push(format!("{id}: repeated, and may have run"))
                    }
                    Effect::Tokened if is_past_window => {
                        violations.push(format!("{id}: repeated after its window"))
                    }
                    _ => {}
                }
            }
        }
    }

    /// The violation by an attempt that arrived before an earlier one of the same request had ended.
    fn two_in_flight(&self, effect: Effect, before: &Attempt, after: &Attempt) -> Option<String> {
        let overlap = before.ended.saturating_duration_since(after.arrived);
        if overlap <= OBSERVATION_DELAY_MAX {
            return None;
        }
        let stops = self.stops_within(before.arrived, after.arrived + overlap);
        Some(format!(
            "{} ({effect:?}): two out for {overlap:?}: at {} from 0 to {} ms, at {} from {} to {} ms; stops {stops:?}",
            before.id,
            before.invoker,
            millis_between(before.ended, before.arrived),
            after.invoker,
            millis_between(after.arrived, before.arrived),
            millis_between(after.ended, before.arrived),
        ))
    }

    /// When an attempt was sent, as far as the process can know: a stop between its last reading of the clock and the system
    /// call that sent it is subtracted, according to the trace of that call.
    fn sent_at(&self, attempt: &Attempt) -> Instant {
        let stopped = self.stopped_sends.iter().find(|sent| sent.is_of(attempt));
        attempt.arrived - stopped.map_or(Duration::ZERO, |sent| sent.stopped)
    }

    /// Attempts are sent with no more than the remaining time, and not after the client left.
    fn check_attempts(&self, violations: &mut Vec<String>) {
        for attempt in &self.attempts {
            let (id, request) = (attempt.id, &self.requests[&attempt.id]);
            let sent_at = self.sent_at(attempt);
            let remaining = (request.sent_at + request.limit).saturating_duration_since(sent_at);
            if attempt.told_limit > remaining + LIMIT_SLACK {
                let stops = self.stops_within(request.sent_at, attempt.arrived);
                violations.push(format!(
                    "{id}: sent with a limit of {:?}, {remaining:?} remain {} ms after the request; stops {stops:?}",
                    attempt.told_limit,
                    millis_between(attempt.arrived, request.sent_at),
                ));
            }
            let abandoned_for = request
                .abandoned_at
                .map(|abandoned_at| sent_at.saturating_duration_since(abandoned_at));
            if let Some(late) = abandoned_for.filter(|late| *late > ABANDONED_SLACK) {
                violations.push(format!("{id}: sent {late:?} after its client left"));
            }
        }
    }

    /// New work at draining or gone invokers past the grace: attempts and load orders.
    pub fn work_past_grace(&self) -> Vec<String> {
        let attempts = self.attempts.iter().map(|a| (a.arrived, a.invoker));
        let new_work = attempts.chain(self.orders.clone());
        let late_work = new_work.filter_map(|(at, invoker)| {
            let span = self
                .not_ready
                .iter()
                .find(|span| span.forbids(invoker, at))?;
            let late = at - span.from;
            Some(format!(
                "invoker {invoker}: new work {late:?} after its grace"
            ))
        });
        late_work.collect()
    }

    /// Rule 5: load orders keep within the budget of their window.
    fn check_load_orders(&self, violations: &mut Vec<String>) {
        for (at, _) in &self.orders {
            let orders = self
                .orders
                .iter()
                .filter(|o| o.0 <= *at && o.0 + ORDER_WINDOW > *at && !self.was_killed(o.0, *at))
                .count();
            let is_counted = |request: &&Request| {
                let is_within =
                    request.sent_at <= *at && request.sent_at + ORDER_WINDOW + SLACK > *at;
                is_within && !self.was_killed(request.sent_at, *at)
            };
            let requests = self.requests.values().filter(is_counted).count();
            let most = (ORDERS_FREE + ORDERS_SHARE * requests as f64) * BUDGET_FACTOR
                + BUDGET_EXTRA_ORDERS;
            if orders as f64 > most {
                violations.push(format!(
                    "{orders} orders in a window of {requests} requests: {most:.1} are allowed"
                ));
            }
        }
    }
}
