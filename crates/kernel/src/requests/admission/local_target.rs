//! Standing of the VM's own target, and when it is examined.

use std::time::Duration;

use celeryshore_model::Incarnation;
use celeryshore_model::UpstreamName;

use super::Admitting;
use crate::Health;
use crate::requests::RequestAction;
use crate::requests::context::Context;

/// The own target, as the configuration shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OwnTarget {
    name: UpstreamName,
    life: Incarnation,
    is_out: bool,
}

impl OwnTarget {
    /// Tells whether a later view is of the same life, and in service all along.
    fn continues(&self, later: &Self) -> bool {
        !self.is_out && self.name == later.name && self.life == later.life
    }
}

impl Admitting {
    /// Takes the time for which the target says that it stays in cold start.
    pub(in crate::requests) fn told_cold(&mut self, cx: &mut Context<'_>, cold_for: Duration) {
        self.admission.told(cx.now.mono, cold_for);
    }

    /// Takes what an examination of the target showed.
    pub(in crate::requests) fn examined(&mut self, cx: &mut Context<'_>, health: Health) {
        if health == Health::Unreachable {
            self.target_gone(cx);
        }
        self.admission.examined(cx.now.mono, health);
        self.refuse_late(cx);
        self.fill(cx);
    }

    /// Has the target examined, if that is due.
    pub(in crate::requests) fn examine(&mut self, cx: &mut Context<'_>) {
        if !self.admission.take_examination(cx.now.mono) {
            return;
        }
        match cx.view.own_service().and_then(|s| s.health_path.clone()) {
            Some(path) => cx.actions.push(RequestAction::CheckHealth { path }),
            None => self.admission.postpone_examination(cx.now.mono),
        }
    }

    /// Begins again with a target that has started again or that comes back into
    /// service, since it may be in cold start.
    pub(super) fn observe_own(&mut self, cx: &mut Context<'_>) {
        let own = cx.view.own();
        let own = own.map(|own| OwnTarget {
            name: own.name.clone(),
            life: own.incarnation,
            is_out: cx.view.is_own_out_of_service(),
        });
        if own == self.own {
            return;
        }
        let is_same = |old: &OwnTarget| own.as_ref().is_some_and(|new| old.continues(new));
        if !self.own.as_ref().is_some_and(is_same) {
            self.admission.reset(cx.now.mono);
        }
        self.own = own;
    }
}
