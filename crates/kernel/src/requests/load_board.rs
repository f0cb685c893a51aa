//! Latest load reports of targets, which both roles of a node share.
//!
//! Load pattern: many nodes that each send a target a request about once a second. The
//! report on the reply is too old for the next choice. Replies therefore carry the latest
//! reports of other targets as well, and each node learns of several targets with each
//! reply, without further messages.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Incarnation;
use celeryshore_model::KindId;
use celeryshore_model::ServiceName;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::UpstreamName;
use serde::Serialize;

use crate::KnownLoad;
use crate::LoadReport;
use crate::MAX_KNOWN_LOADS;
use crate::requests::longest_times::LongestTimes;

/// Age from which a report says nothing.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Age from which a report isn't passed on.
const MAX_SHARED_AGE: Duration = Duration::from_secs(1);
/// Inverse weight of the latest run in the usual run time of a kind.
const SMOOTHING: u32 = 32;
/// Multiple of the usual run time above which a run counts as this multiple, so that a
/// few long runs don't change what is usual.
const MAX_RUN_FACTOR: u32 = 3;
/// Usual run time below which long runs aren't reduced.
const MIN_RUN: Duration = Duration::from_millis(1);
/// Maximum number of kinds whose run times are kept.
const MAX_KINDS: usize = 4_096;

/// Latest known report of a target.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct TargetLoad {
    target: Incarnation,
    pub(super) report: LoadReport,
    /// When the target's node measured it, on this node's clock.
    pub(super) measured_at: Time,
}

impl TargetLoad {
    /// Returns `true` if the report is young enough to say something of the present.
    pub(super) fn is_usable(&self, now: Time) -> bool {
        now - self.measured_at <= MAX_REPORT_AGE
    }

    /// Returns the share of slots in use, beyond 1 if requests wait.
    fn used(&self) -> f64 {
        f64::from(self.report.in_flight) / f64::from(self.report.limit.max(1))
    }

    const fn has_free_slot(&self) -> bool {
        self.report.in_flight < self.report.limit
    }
}

/// Latest known reports of targets, and usual run times of kinds over all targets.
#[derive(Debug, Default)]
pub(super) struct LoadBoard {
    loads: BTreeMap<UpstreamName, TargetLoad>,
    usual_runs: BTreeMap<KindId, Duration>,
    longest_runs: LongestTimes,
}

impl LoadBoard {
    /// Records the report of a target, unless a younger one of it is known.
    pub(super) fn record(&mut self, now: Time, known: KnownLoad) {
        let new = TargetLoad {
            target: known.target,
            report: known.load,
            measured_at: Time::ZERO + (now - Time::ZERO).saturating_sub(known.age),
        };
        if let Some(load) = self.loads.get_mut(&known.upstream) {
            if load.measured_at <= new.measured_at {
                *load = new;
            }
        } else {
            self.loads.insert(known.upstream, new);
        }
    }

    /// Returns the latest report of this incarnation of a target.
    pub(super) fn get(&self, upstream: &UpstreamName, target: Incarnation) -> Option<TargetLoad> {
        let load = self.loads.get(upstream).copied();
        load.filter(|load| load.target == target)
    }

    /// Returns the youngest reports of the service of `own` other than its own report, to
    /// be passed on.
    pub(super) fn youngest(
        &self,
        now: Time,
        snapshot: &Snapshot,
        own: &UpstreamName,
    ) -> Vec<KnownLoad> {
        let service = snapshot.upstreams.get(own).map(|u| &u.service);
        let service = service.and_then(|name| snapshot.services.get(name));
        let names = service.into_iter().flat_map(|s| &s.upstreams);
        let mut youngest: Vec<(&UpstreamName, &TargetLoad)> = Vec::new();
        for name in names.filter(|name| *name != own) {
            let Some(load) = self.loads.get(name) else {
                continue;
            };
            let is_old = now - load.measured_at > MAX_SHARED_AGE;
            let position = youngest.partition_point(|(_, l)| l.measured_at >= load.measured_at);
            if !is_old && position < MAX_KNOWN_LOADS {
                youngest.truncate(MAX_KNOWN_LOADS - 1);
                youngest.insert(position, (name, load));
            }
        }
        let known = youngest.into_iter().map(|(name, load)| KnownLoad {
            upstream: name.clone(),
            target: load.target,
            age: now - load.measured_at,
            load: load.report,
        });
        known.collect()
    }

    /// Returns the age of a target's report if it is usable.
    pub(super) fn age(&self, now: Time, upstream: &UpstreamName) -> Option<Duration> {
        let load = self.loads.get(upstream).filter(|load| load.is_usable(now));
        load.map(|load| now - load.measured_at)
    }

    /// Returns `true` if a report that is young enough to be passed on shows a free slot at
    /// a target of a service.
    pub(super) fn has_free(&self, now: Time, snapshot: &Snapshot, service: &ServiceName) -> bool {
        let service = snapshot.services.get(service);
        let mut names = service.into_iter().flat_map(|s| &s.upstreams);
        names.any(|name| {
            let load = self.loads.get(name);
            load.is_some_and(|l| now - l.measured_at <= MAX_SHARED_AGE && l.has_free_slot())
        })
    }

    /// Returns the latest report of each target.
    pub(super) const fn all(&self) -> &BTreeMap<UpstreamName, TargetLoad> {
        &self.loads
    }

    /// Returns the load of the busiest target of each service over the mean, by the usable
    /// reports. Services without load are left out.
    pub(super) fn peaks(&self, now: Time, snapshot: &Snapshot) -> BTreeMap<ServiceName, f64> {
        let services = snapshot.services.values();
        let peaks = services.filter_map(|service| {
            let loads = service.upstreams.iter().filter_map(|n| self.loads.get(n));
            let used = loads
                .filter(|load| load.is_usable(now))
                .map(TargetLoad::used);
            let (sum, max, count) = used.fold((0.0, 0.0_f64, 0), |(sum, max, count), used| {
                (sum + used, max.max(used), count + 1)
            });
            (sum > 0.0).then(|| (service.name.clone(), max * f64::from(count) / sum))
        });
        peaks.collect()
    }

    /// Drops the reports of targets that are no longer listed.
    pub(super) fn retain_listed(&mut self, snapshot: &Snapshot) {
        self.loads
            .retain(|name, _| snapshot.upstreams.contains_key(name));
    }

    /// Records the run time of a request of a kind at any target.
    pub(super) fn observe_run(&mut self, kind: &KindId, run_time: Duration) {
        if let Some(usual) = self.usual_runs.get_mut(kind) {
            let run_time = run_time.min((*usual).max(MIN_RUN) * MAX_RUN_FACTOR);
            *usual = (*usual * (SMOOTHING - 1) + run_time) / SMOOTHING;
        } else if self.usual_runs.len() < MAX_KINDS {
            self.usual_runs.insert(kind.clone(), run_time);
        }
    }

    /// Records the run time of a request of a kind, and the longest one that is known of its
    /// target.
    pub(super) fn observe_longest_run(
        &mut self,
        now: Time,
        kind: &KindId,
        run_time: Duration,
        longest: Option<Duration>,
    ) {
        self.longest_runs.record(now, kind, run_time);
        if let Some(longest) = longest {
            self.longest_runs.raise(kind, longest);
        }
    }

    /// Returns the longest run times of all targets.
    pub(super) const fn longest_runs(&self) -> &LongestTimes {
        &self.longest_runs
    }

    /// Returns the usual run time of a kind over all targets.
    pub(super) fn usual_run(&self, kind: &KindId) -> Option<Duration> {
        self.usual_runs.get(kind).copied()
    }
}
