//! Load figures that replies carry.

use super::Admission;
use crate::KnownLoad;
use crate::LoadReport;
use crate::requests::context::Context;
use crate::requests::context::Origin;

impl Admission {
    /// Returns the load of the local target.
    pub(super) fn load(&self, cx: &Context<'_>) -> LoadReport {
        let load = self.scheduler.load(cx.now.mono);
        if !cx.view.cfg().terms.even_load {
            return load;
        }
        LoadReport {
            starts: self.scheduler.starts(cx.now.mono),
            speed: self.scheduler.speed(|kind| cx.loads.usual_run(kind)),
            ..load
        }
    }
}

/// Returns the latest reports of other targets of the service for the reply to a peer.
pub(super) fn others(cx: &Context<'_>, origin: Origin) -> Vec<KnownLoad> {
    let is_wanted = cx.view.cfg().terms.even_load && matches!(origin, Origin::Peer(_));
    let known = cx.view.snapshot().zip(cx.view.own());
    let known = known.filter(|_| is_wanted);
    known.map_or_else(Vec::new, |(snapshot, own)| {
        cx.loads.youngest(cx.now.mono, snapshot, &own.name)
    })
}
