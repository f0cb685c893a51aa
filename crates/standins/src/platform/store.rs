//! Values, faults and counts of the platform.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

const RATE_WINDOW: Duration = Duration::from_secs(1);
const FLAP_INTERVAL: Duration = Duration::from_secs(1);

/// How the platform misbehaves.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    #[default]
    Up,
    /// It closes connections without an answer.
    Down,
    /// It answers with what it held when the fault began.
    Stale,
    /// It answers with the values before the newest ones.
    Older,
    /// It answers with half of each value.
    Torn,
    /// It is down every other second.
    Flap,
}

/// A value as a reader sees it.
#[derive(Clone, Debug, Default)]
pub struct Value {
    /// Index of the value's last change.
    pub index: u64,
    /// The value, if the key exists.
    pub data: Option<Bytes>,
}

/// One VM in the list of live and leaving VMs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Vm {
    /// Name of the VM.
    pub node: String,
    /// Address of the VM.
    pub address: String,
    /// Availability zone and state.
    pub meta: Meta,
}

/// Availability zone and state of a VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Meta {
    /// Availability zone.
    pub zone: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Kind of a reader's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A value was read.
    Read,
    /// A value was watched.
    Watch,
    /// The list of VMs was read.
    Catalog,
}

/// Counts of the readers' calls.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Values read at once.
    pub reads: u64,
    /// Values watched.
    pub watches: u64,
    /// Lists of VMs read.
    pub catalog: u64,
    /// Calls of every kind in the last second.
    pub last_second: usize,
    /// Most calls in any second.
    pub peak_second: usize,
}

impl CallCounts {
    /// Returns the number of all calls.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_standins::platform::CallCounts;
    ///
    /// let calls = CallCounts {
    ///     reads: 1,
    ///     watches: 2,
    ///     ..CallCounts::default()
    /// };
    /// assert_eq!(calls.total(), 3);
    /// ```
    #[must_use]
    pub fn total(&self) -> u64 {
        self.reads + self.watches + self.catalog
    }
}

/// State of the platform.
#[derive(Debug)]
pub struct Store {
    index: u64,
    history: HashMap<String, Vec<Value>>,
    fault: Fault,
    fault_since: Instant,
    stale_index: u64,
    lag: Duration,
    vm_lists: VecDeque<(Instant, Vec<Vm>)>,
    calls: CallCounts,
    recent_calls: VecDeque<Instant>,
}

impl Store {
    /// Makes an empty store.
    pub fn new(lag: Duration) -> Self {
        Self {
            index: 1,
            history: HashMap::new(),
            fault: Fault::Up,
            fault_since: Instant::now(),
            stale_index: 0,
            lag,
            vm_lists: VecDeque::new(),
            calls: CallCounts::default(),
            recent_calls: VecDeque::new(),
        }
    }

    /// Sets a value and returns its index.
    pub fn publish(&mut self, key: &str, data: Bytes) -> u64 {
        self.index += 1;
        let value = Value {
            index: self.index,
            data: Some(data),
        };
        self.history.entry(key.to_owned()).or_default().push(value);
        self.index
    }

    /// Returns a value as a reader sees it under the fault of the moment.
    pub fn get(&self, key: &str) -> Value {
        let history = self.history.get(key).map_or(&[][..], Vec::as_slice);
        let visible = match self.fault {
            Fault::Stale => history.iter().rfind(|v| v.index <= self.stale_index),
            Fault::Older => history.iter().rev().nth(1).or(history.last()),
            _ => history.last(),
        };
        let mut value = visible.cloned().unwrap_or_default();
        if self.fault == Fault::Torn {
            value.data = value.data.map(|data| data.slice(..data.len() / 2));
        }
        value
    }

    /// Begins a fault, or ends it with [`Fault::Up`].
    pub fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
        self.fault_since = Instant::now();
        self.stale_index = self.index;
    }

    /// Tells whether readers get no answer now.
    pub fn is_down(&self) -> bool {
        let intervals = self.fault_since.elapsed().as_millis() / FLAP_INTERVAL.as_millis();
        match self.fault {
            Fault::Down => true,
            Fault::Flap => intervals.is_multiple_of(2),
            _ => false,
        }
    }

    /// Sets the list of VMs; readers see it after the lag.
    pub fn set_vms(&mut self, vms: Vec<Vm>) {
        self.vm_lists.push_back((Instant::now() + self.lag, vms));
    }

    /// Returns the list of VMs as a reader sees it.
    pub fn visible_vms(&mut self) -> Vec<Vm> {
        let now = Instant::now();
        while self.vm_lists.get(1).is_some_and(|(from, _)| *from <= now) {
            self.vm_lists.pop_front();
        }
        let first = self.vm_lists.front().filter(|(from, _)| *from <= now);
        first.map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    /// Counts a call.
    pub fn record_call(&mut self, kind: CallKind) {
        match kind {
            CallKind::Read => self.calls.reads += 1,
            CallKind::Watch => self.calls.watches += 1,
            CallKind::Catalog => self.calls.catalog += 1,
        }
        self.recent_calls.push_back(Instant::now());
        let recent = self.calls().last_second;
        self.calls.peak_second = self.calls.peak_second.max(recent);
    }

    /// Returns the counts.
    pub fn calls(&mut self) -> CallCounts {
        let expired = |at: &Instant| at.elapsed() > RATE_WINDOW;
        while self.recent_calls.front().is_some_and(expired) {
            self.recent_calls.pop_front();
        }
        self.calls.last_second = self.recent_calls.len();
        self.calls
    }
}
