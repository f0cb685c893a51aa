//! Log entries and status of quotas.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use celeryshore_model::Rate;
use celeryshore_model::Time;
use celeryshore_model::VmName;
use celeryshore_model::WorkspaceName;
use derive_more::Display;
use serde::Serialize;

use super::Quotas;
use super::REPORT_INTERVAL;
use crate::requests::RequestAction;

/// A workspace whose requests this node refuses for its quota.
#[derive(Clone, Debug, Display)]
#[display("workspace {workspace} is limited to {rate}, {demand} requests in a second here")]
pub struct QuotaReport {
    /// Workspace that is limited.
    pub workspace: WorkspaceName,
    /// Rate of its quota.
    pub rate: Rate,
    /// Recent requests per second at this node.
    pub demand: u32,
    /// Requests that this node refused since the process started.
    pub refused: u64,
    /// Time in which this node gets one more credit; absent if no owner has stated it.
    pub interval: Option<Duration>,
    /// VMs of the owners of the quota.
    pub owners: Vec<VmName>,
}

/// Quota of a workspace at one node.
#[derive(Clone, Debug, Serialize)]
pub struct QuotaStatus {
    /// Rate of the quota.
    pub rate: Rate,
    /// Number of requests that may come beyond the rate.
    pub burst: u64,
    /// VMs of the owners.
    pub owners: Vec<VmName>,
    /// Requests that this node admitted, since the process started.
    pub admitted: u64,
    /// Requests that this node refused, since the process started.
    pub refused: u64,
    /// Usable credits at this node.
    pub credits: u32,
    /// Part of the quota that this node owns.
    pub part: Option<PartStatus>,
}

/// Part of a quota at its owner.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PartStatus {
    /// Rate at which the part fills.
    pub rate: Rate,
    /// Whole credits that it can lend.
    pub available: u64,
    /// Nodes that hold credits of it or wait for some.
    pub borrowers: usize,
    /// Credits that it lent, without renewals.
    pub lent: u64,
}

impl Quotas {
    /// Returns the quotas of the workspaces that this node has callers or a part of.
    #[must_use]
    pub fn status(&self, now: Time) -> BTreeMap<WorkspaceName, QuotaStatus> {
        let names: BTreeSet<_> = self.usages.keys().chain(self.parts.keys()).collect();
        let status = names.into_iter().filter_map(|name| {
            let limit = self.limits.get(name)?;
            let usage = self.usages.get(name);
            let status = QuotaStatus {
                rate: limit.quota.rate,
                burst: limit.quota.burst,
                owners: limit.owners.iter().map(|o| o.vm.clone()).collect(),
                admitted: usage.map_or(0, |u| u.admitted),
                refused: usage.map_or(0, |u| u.refused),
                credits: usage.map_or(0, |u| u.usable(now)),
                part: self.parts.get(name).map(|part| PartStatus {
                    rate: part.rate(now),
                    available: part.level().whole(),
                    borrowers: part.borrowers(),
                    lent: part.lent_total(),
                }),
            };
            Some((name.clone(), status))
        });
        status.collect()
    }

    /// Reports that a workspace is limited, at most once per second.
    pub(super) fn report(
        &mut self,
        now: Time,
        workspace: &WorkspaceName,
        actions: &mut Vec<RequestAction>,
    ) {
        let last = self.reported_at.get(workspace);
        if last.is_some_and(|at| now - *at < REPORT_INTERVAL) {
            return;
        }
        let (Some(limit), Some(usage)) = (self.limits.get(workspace), self.usages.get(workspace))
        else {
            return;
        };
        let report = QuotaReport {
            workspace: workspace.clone(),
            rate: limit.quota.rate,
            demand: usage.demand(now),
            refused: usage.refused,
            interval: usage.credit_interval(),
            owners: usage.owners().cloned().collect(),
        };
        self.reported_at.insert(workspace.clone(), now);
        actions.push(RequestAction::ReportQuota(Box::new(report)));
    }
}
