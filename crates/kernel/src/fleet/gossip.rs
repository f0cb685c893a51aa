//! Member updates to piggyback on datagrams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use celeryshore_model::VmName;

use super::message::Datagram;
use super::message::MAX_DATAGRAM_BYTES;
use super::message::Update;

/// Number of datagrams that carry an update, per doubling of the fleet size.
const SENDS_PER_DOUBLING: u32 = 3;

#[derive(Debug)]
struct Item {
    update: Update,
    sent: u32,
}

/// Queue of member updates. Updates that were sent least often go first.
#[derive(Debug, Default)]
pub struct Gossip {
    items: BTreeMap<VmName, Item>,
    order: BTreeSet<(u32, VmName)>,
}

impl Gossip {
    /// Adds an update, which replaces an older one of the same member.
    pub fn push(&mut self, update: Update) {
        let vm = update.vm.clone();
        if let Some(old) = self.items.insert(vm.clone(), Item { update, sent: 0 }) {
            self.order.remove(&(old.sent, vm.clone()));
        }
        self.order.insert((0, vm));
    }

    /// Adds updates to a datagram until it is full. Skips members for which
    /// `may_share` returns `false`.
    pub fn fill(
        &mut self,
        datagram: &mut Datagram,
        members: usize,
        may_share: impl Fn(&VmName) -> bool,
    ) {
        let limit = SENDS_PER_DOUBLING * (members.max(2).ilog2() + 1);
        let mut room = MAX_DATAGRAM_BYTES.saturating_sub(datagram.size_bound());
        let mut chosen = Vec::new();
        for (_, vm) in self.order.iter().filter(|(_, vm)| may_share(vm)) {
            let Some(item) = self.items.get(vm) else {
                continue;
            };
            let size = item.update.size_bound();
            if size > room {
                break;
            }
            room -= size;
            chosen.push(vm.clone());
        }
        for vm in chosen {
            self.record_send(&vm, limit, &mut datagram.updates);
        }
    }

    fn record_send(&mut self, vm: &VmName, limit: u32, updates: &mut Vec<Update>) {
        let Some(item) = self.items.get_mut(vm) else {
            return;
        };
        self.order.remove(&(item.sent, vm.clone()));
        updates.push(item.update.clone());
        item.sent += 1;
        if item.sent < limit {
            self.order.insert((item.sent, vm.clone()));
        } else {
            self.items.remove(vm);
        }
    }

    /// Returns the number of members with a queued update.
    pub fn len(&self) -> usize {
        self.items.len()
    }
}
