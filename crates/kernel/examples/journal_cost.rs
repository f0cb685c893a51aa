//! Measures the memory that the journal needs for one idempotency key.
//!
//! Run it with `cargo run --release -p celeryshore-kernel --example journal_cost`.

use celeryshore_kernel::Journal;
use celeryshore_kernel::JournalConfig;
use celeryshore_kernel::KeyDecision;
use celeryshore_kernel::KeyOutcome;
use celeryshore_kernel::KeyRole;
use celeryshore_kernel::KeyedCopy;
use celeryshore_model::Attempt;
use celeryshore_model::Digest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Now;

const KEYS: u64 = 50_000;
const PAGE_BYTES: u64 = 4_096;

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn main() -> celeryshore_model::Result<()> {
    let now = Now::default();
    let mut journal = Journal::new(JournalConfig::new("vm-1".parse()?), now);
    let before = resident_bytes();
    for n in 0..KEYS {
        let copy = KeyedCopy {
            key: format!("01890a5d-ac96-774b-bcce-{n:012}").parse()?,
            fingerprint: Digest::of(&n.to_le_bytes()),
            attempt: Some(Attempt::new(1)),
            role: KeyRole::Home,
        };
        if journal.begin(now, &copy, ()) == KeyDecision::Run {
            journal.finish(now, &copy.key, KeyOutcome::Done(HttpResponse::default()));
        }
    }
    let bytes = resident_bytes() - before;
    println!("{} keys, {} bytes per key", journal.len(), bytes / KEYS);
    Ok(())
}
