//! Conversions of the reasons in replies and of target phases.

use celeryshore_kernel::NotRun;
use celeryshore_kernel::Phase;
use celeryshore_kernel::Unknown;

use crate::Error;
use crate::Result;
use crate::generated::exchange as raw;

impl From<NotRun> for raw::NotRunReason {
    fn from(value: NotRun) -> Self {
        match value {
            NotRun::Overloaded | NotRun::RateLimited => Self::Overloaded,
            NotRun::ColdStart => Self::ColdStart,
            NotRun::Leaving => Self::Leaving,
            NotRun::OutOfService => Self::OutOfService,
            NotRun::Behind => Self::Behind,
            NotRun::NotHere => Self::NotHere,
            NotRun::Deadline => Self::Deadline,
            NotRun::Cancelled => Self::Cancelled,
            NotRun::TargetDown => Self::TargetDown,
            NotRun::Poison => Self::Poison,
            NotRun::KeyReused => Self::KeyReused,
            NotRun::BadKey => Self::BadKey,
            NotRun::JournalFull => Self::JournalFull,
            NotRun::NoUpstream => Self::NoUpstream,
            NotRun::NoRoute => Self::NoRoute,
            NotRun::Learning => Self::Learning,
            NotRun::TooLarge => Self::TooLarge,
            NotRun::TooDeep => Self::TooDeep,
            NotRun::Shed => Self::Shed,
            NotRun::UnknownKey => Self::UnknownKey,
            NotRun::Quota => Self::Quota,
        }
    }
}

impl TryFrom<raw::NotRunReason> for NotRun {
    type Error = Error;

    fn try_from(raw: raw::NotRunReason) -> Result<Self> {
        match raw {
            raw::NotRunReason::Overloaded => Ok(Self::Overloaded),
            raw::NotRunReason::ColdStart => Ok(Self::ColdStart),
            raw::NotRunReason::Leaving => Ok(Self::Leaving),
            raw::NotRunReason::OutOfService => Ok(Self::OutOfService),
            raw::NotRunReason::Behind => Ok(Self::Behind),
            raw::NotRunReason::NotHere => Ok(Self::NotHere),
            raw::NotRunReason::Deadline => Ok(Self::Deadline),
            raw::NotRunReason::Cancelled => Ok(Self::Cancelled),
            raw::NotRunReason::TargetDown => Ok(Self::TargetDown),
            raw::NotRunReason::Poison => Ok(Self::Poison),
            raw::NotRunReason::KeyReused => Ok(Self::KeyReused),
            raw::NotRunReason::BadKey => Ok(Self::BadKey),
            raw::NotRunReason::JournalFull => Ok(Self::JournalFull),
            raw::NotRunReason::NoUpstream => Ok(Self::NoUpstream),
            raw::NotRunReason::NoRoute => Ok(Self::NoRoute),
            raw::NotRunReason::Learning => Ok(Self::Learning),
            raw::NotRunReason::TooLarge => Ok(Self::TooLarge),
            raw::NotRunReason::TooDeep => Ok(Self::TooDeep),
            raw::NotRunReason::Shed => Ok(Self::Shed),
            raw::NotRunReason::UnknownKey => Ok(Self::UnknownKey),
            raw::NotRunReason::Quota => Ok(Self::Quota),
            raw::NotRunReason::Unspecified => Err(Error::invalid_value("reason")),
        }
    }
}

impl From<Unknown> for raw::UnknownReason {
    fn from(value: Unknown) -> Self {
        match value {
            Unknown::PeerLost => Self::PeerLost,
            Unknown::TargetLost => Self::TargetLost,
            Unknown::Deadline => Self::Deadline,
            Unknown::WitnessUnreachable => Self::WitnessUnreachable,
            Unknown::WitnessRestarted => Self::WitnessRestarted,
            Unknown::Superseded => Self::Superseded,
            Unknown::AnswerGone => Self::AnswerGone,
            Unknown::KeyExpired => Self::KeyExpired,
            Unknown::NotJudged => Self::NotJudged,
        }
    }
}

impl TryFrom<raw::UnknownReason> for Unknown {
    type Error = Error;

    fn try_from(raw: raw::UnknownReason) -> Result<Self> {
        match raw {
            raw::UnknownReason::PeerLost => Ok(Self::PeerLost),
            raw::UnknownReason::TargetLost => Ok(Self::TargetLost),
            raw::UnknownReason::Deadline => Ok(Self::Deadline),
            raw::UnknownReason::WitnessUnreachable => Ok(Self::WitnessUnreachable),
            raw::UnknownReason::WitnessRestarted => Ok(Self::WitnessRestarted),
            raw::UnknownReason::Superseded => Ok(Self::Superseded),
            raw::UnknownReason::AnswerGone => Ok(Self::AnswerGone),
            raw::UnknownReason::KeyExpired => Ok(Self::KeyExpired),
            raw::UnknownReason::NotJudged => Ok(Self::NotJudged),
            raw::UnknownReason::Unspecified => Err(Error::invalid_value("reason")),
        }
    }
}

impl From<Phase> for raw::Phase {
    fn from(value: Phase) -> Self {
        match value {
            Phase::Cold => Self::Cold,
            Phase::Warming => Self::Warming,
            Phase::Warm => Self::Warm,
            Phase::Draining => Self::Draining,
            Phase::Down => Self::Down,
        }
    }
}

impl From<raw::Phase> for Phase {
    fn from(raw: raw::Phase) -> Self {
        match raw {
            raw::Phase::Cold => Self::Cold,
            raw::Phase::Warming => Self::Warming,
            raw::Phase::Warm => Self::Warm,
            raw::Phase::Draining => Self::Draining,
            raw::Phase::Down => Self::Down,
        }
    }
}
