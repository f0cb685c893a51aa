//! Values, active fault and call counts of the platform.

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

/// Fault that readers of the platform see.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    Up,
    /// Closes connections without a response.
    Down,
    /// Returns the values as of the time at which the fault began.
    Stale,
    /// Returns the previous version of each value.
    Older,
    /// Truncates each value to half of its length.
    Torn,
    /// Alternates between down and up every second, starting with down.
    Flap,
}

/// Value of a key, as a reader sees it.
#[derive(Clone, Debug, Default)]
pub struct Value {
    /// Index of the value's last change; 0 if the key doesn't exist.
    pub index: u64,
    /// Content; `None` if the key doesn't exist.
    pub data: Option<Bytes>,
}

/// Entry of the catalog, which lists the live and the leaving VMs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Vm {
    /// Name of the VM.
    pub node: String,
    /// IP address of the VM.
    pub address: String,
    /// Availability zone and state.
    pub meta: Meta,
}

/// Availability zone and state of a VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Meta {
    /// Availability zone.
    pub zone: String,
    /// State of the VM: `live` or `leaving`.
    pub state: String,
}

/// Kind of a call by a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Read of a value, answered at once.
    Read,
    /// Blocking query, which waits for a change of a value.
    Watch,
    /// Read of the list of VMs.
    Catalog,
}

/// Number of calls by readers.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of values that were answered at once.
    pub reads: u64,
    /// Blocking queries.
    pub watches: u64,
    /// Reads of the list of VMs.
    pub catalog: u64,
    /// Calls of all kinds in the last second.
    pub last_second: usize,
    /// Maximum of `last_second` so far.
    pub peak_second: usize,
}

impl CallCounts {
    /// Returns the number of calls of all kinds.
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
    /// Index at which the fault began.
    stale_index: u64,
    lag: Duration,
    /// Lists of VMs, each with the time from which readers see it.
    vm_lists: VecDeque<(Instant, Vec<Vm>)>,
    calls: CallCounts,
    /// Times of the calls in the last second.
    recent_calls: VecDeque<Instant>,
}

impl Store {
    /// Creates an empty store whose list of VMs lags by `lag`.
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

    /// Returns a value as a reader sees it under the current fault.
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

    /// Starts a fault. [`Fault::Up`] ends the current one.
    pub fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
        self.fault_since = Instant::now();
        self.stale_index = self.index;
    }

    /// Returns `true` if readers currently get no response.
    pub fn is_down(&self) -> bool {
        let intervals = self.fault_since.elapsed().as_millis() / FLAP_INTERVAL.as_millis();
        match self.fault {
            Fault::Down => true,
            Fault::Flap => intervals.is_multiple_of(2),
            _ => false,
        }
    }

    /// Sets the list of VMs, which readers see after the lag.
    pub fn set_vms(&mut self, vms: Vec<Vm>) {
        self.vm_lists.push_back((Instant::now() + self.lag, vms));
    }

    /// Returns the list of VMs that readers see now.
    pub fn visible_vms(&mut self) -> Vec<Vm> {
        let now = Instant::now();
        while self.vm_lists.get(1).is_some_and(|(from, _)| *from <= now) {
            self.vm_lists.pop_front();
        }
        let first = self.vm_lists.front().filter(|(from, _)| *from <= now);
        first.map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    /// Counts a call and updates the peak rate.
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

    /// Returns the call counts, with those of the last second up to date.
    pub fn calls(&mut self) -> CallCounts {
        let expired = |at: &Instant| at.elapsed() > RATE_WINDOW;
        while self.recent_calls.front().is_some_and(expired) {
            self.recent_calls.pop_front();
        }
        self.calls.last_second = self.recent_calls.len();
        self.calls
    }
}
