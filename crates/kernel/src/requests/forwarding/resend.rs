//! Requests that may repeat an earlier send of their idempotency key.

use celeryshore_model::Attempt;
use celeryshore_model::HttpRequest;
use celeryshore_model::Semantics;

use crate::NotRun;
use crate::Unknown;
use crate::requests::headers;

/// Attempt number of a first send.
pub(super) const FIRST_ATTEMPT: Attempt = Attempt::new(1);

/// Whether a request may repeat an earlier send of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Resend {
    /// No key, or the caller states that this is the first send.
    No,
    /// A key without an attempt number.
    Maybe,
    /// The caller states that this is a resend.
    Yes,
}

impl Resend {
    /// Reads the key and attempt number from the header fields of a request.
    pub(super) fn of(request: &HttpRequest) -> Self {
        match (request.header(headers::KEY), attempt(request)) {
            (None, _) | (Some(_), Some(FIRST_ATTEMPT)) => Self::No,
            (Some(_), None) => Self::Maybe,
            (Some(_), Some(_)) => Self::Yes,
        }
    }
}

/// Returns `true` if a request that was refused before routing may have run in an
/// earlier send of its key, so that the refusal can't be reported as "not run".
pub(super) const fn may_have_run(reason: NotRun, resend: Resend) -> bool {
    match resend {
        Resend::No => false,
        Resend::Maybe => matches!(reason, NotRun::Leaving | NotRun::Learning),
        Resend::Yes => !matches!(reason, NotRun::BadKey),
    }
}

/// Returns why a request may have run before, if its caller may have sent it already.
pub(super) fn earlier_send(semantics: Semantics, request: &HttpRequest) -> Option<Unknown> {
    let is_keyed = !semantics.is_repeatable();
    let may_have_run = is_keyed && Resend::of(request) != Resend::No;
    may_have_run.then_some(Unknown::NotJudged)
}

/// Returns the number of times that the caller has sent the key, if it states it.
pub(super) fn attempt(request: &HttpRequest) -> Option<Attempt> {
    let attempt = headers::number(request, headers::ATTEMPT)?;
    u32::try_from(attempt).ok().map(Attempt::new)
}
