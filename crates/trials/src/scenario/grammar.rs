//! Parser of scenario lines.

use std::str::FromStr;
use std::time::Duration;

use celeryshore_model::Attempt;
use celeryshore_model::Share;
use celeryshore_model::ZoneName;
use winnow::ModalResult;
use winnow::Parser;
use winnow::ascii::digit1;
use winnow::ascii::space0;
use winnow::ascii::space1;
use winnow::combinator::alt;
use winnow::combinator::delimited;
use winnow::combinator::eof;
use winnow::combinator::opt;
use winnow::combinator::peek;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::combinator::terminated;
use winnow::error::ContextError;
use winnow::error::ErrMode;
use winnow::token::take_till;
use winnow::token::take_while;

use super::Category;
use super::Error;
use super::Result;
use super::script::AnswerKind;
use super::script::Bound;
use super::script::Call;
use super::script::Change;
use super::script::Expectation;
use super::script::Load;
use super::script::Place;
use super::script::SourceMode;
use super::script::Statement;
use super::script::Step;
use super::script::TargetMode;

/// Parses a line; an empty line or a comment gives `None`.
pub(super) fn step(number: usize, text: &str) -> Result<Option<Step>> {
    let body = text.trim();
    if body.is_empty() || body.starts_with('#') {
        return Ok(None);
    }
    let comment = opt(('#', take_while(0.., |_| true)));
    let line = (opt(preceded(word("at"), time)), statement);
    let parsed = terminated(line, (space0, comment)).parse(body);
    let (at, statement) = parsed.map_err(|err| {
        let rest = &body[err.offset()..];
        Error::new(
            Category::Syntax,
            number,
            "a statement",
            format_args!("{rest:?}"),
        )
    })?;
    Ok(Some(Step {
        line: number,
        at,
        statement,
    }))
}

fn statement(input: &mut &str) -> ModalResult<Statement> {
    alt((rules, processes, environment, callers, expectation)).parse_next(input)
}

fn rules(input: &mut &str) -> ModalResult<Statement> {
    let line = delimited('"', take_till(1.., '"'), ('"', space0)).map(str::to_owned);
    let change = alt((
        preceded(word("publish"), line.map(Change::Line)),
        word("publish").value(Change::Comment),
        preceded(word("republish"), number).map(Change::Republish),
        preceded(word("take-out"), place).map(Change::TakeOut),
        preceded(word("bring-back"), place).map(Change::BringBack),
    ));
    change.map(Statement::Publish).parse_next(input)
}

fn processes(input: &mut &str) -> ModalResult<Statement> {
    alt((
        nodes,
        preceded(word("kill"), place).map(Statement::Kill),
        preceded(word("restart"), place).map(Statement::Restart),
        preceded(word("drain"), place).map(Statement::Drain),
        preceded(word("freeze"), (place, time)).map(|(p, t)| Statement::Freeze(p, t)),
    ))
    .parse_next(input)
}

fn nodes(input: &mut &str) -> ModalResult<Statement> {
    let zones = preceded(word("zones"), repeat(1.., zone));
    preceded(word("nodes"), (number, zones))
        .map(|(count, zones)| Statement::Nodes { count, zones })
        .parse_next(input)
}

fn environment(input: &mut &str) -> ModalResult<Statement> {
    alt((
        preceded(word("cut"), place).map(Statement::Cut),
        preceded(word("cut-source"), place).map(Statement::CutSource),
        word("heal").value(Statement::Heal),
        preceded(word("lose"), share).map(Statement::Lose),
        preceded(word("delay"), time).map(Statement::Delay),
        preceded(word("wait"), time).map(Statement::Wait),
        preceded(word("source"), source_mode).map(Statement::Source),
        preceded(word("target"), (place, target_mode)).map(|(p, m)| Statement::Target(p, m)),
    ))
    .parse_next(input)
}

fn source_mode(input: &mut &str) -> ModalResult<SourceMode> {
    alt((
        word("up").value(SourceMode::Up),
        word("down").value(SourceMode::Down),
        word("stale").value(SourceMode::Stale),
        word("older").value(SourceMode::Older),
        word("torn").value(SourceMode::Torn),
        word("flap").value(SourceMode::Flap),
    ))
    .parse_next(input)
}

fn target_mode(input: &mut &str) -> ModalResult<TargetMode> {
    alt((
        word("ok").value(TargetMode::Ok),
        word("warm").value(TargetMode::Warm),
        word("down").value(TargetMode::Down),
        word("silent").value(TargetMode::Silent),
        word("broken").value(TargetMode::Broken),
        preceded(word("limited"), rate).map(TargetMode::Limited),
        word("leaving").value(TargetMode::Leaving),
    ))
    .parse_next(input)
}

fn callers(input: &mut &str) -> ModalResult<Statement> {
    alt((send.map(Statement::Send), load.map(Statement::Load))).parse_next(input)
}

fn send(input: &mut &str) -> ModalResult<Call> {
    let key = opt(preceded("key=", name));
    let attempt = opt(preceded("attempt=", number)).map(|n| n.map(Attempt::new));
    let as_name = opt(preceded(word("as"), name));
    preceded(word("send"), (node, name, key, attempt, as_name))
        .map(|(node, kind, key, attempt, name)| Call {
            node,
            kind,
            key,
            attempt,
            name,
        })
        .parse_next(input)
}

fn load(input: &mut &str) -> ModalResult<Load> {
    let time = preceded(word("for"), time);
    let place = opt(place).map(|place| place.unwrap_or(Place::Everywhere));
    preceded(word("load"), (name, rate, time, place))
        .map(|(kind, per_second, time, place)| Load {
            kind,
            per_second,
            time,
            place,
        })
        .parse_next(input)
}

fn expectation(input: &mut &str) -> ModalResult<Statement> {
    let reads = preceded((word("reads"), word("at-most")), rate);
    let whole = preceded((word("whole"), word("at-least")), share);
    let expectation = alt((
        in_force,
        version_of,
        answer,
        runs,
        no_new_work,
        sent,
        whole.map(Expectation::Whole),
        reads.map(|per_second| Expectation::Reads { per_second }),
    ));
    preceded(word("expect"), expectation)
        .map(Statement::Expect)
        .parse_next(input)
}

fn in_force(input: &mut &str) -> ModalResult<Expectation> {
    preceded(word("in-force"), (place, within))
        .map(|(place, within)| Expectation::InForce { place, within })
        .parse_next(input)
}

fn version_of(input: &mut &str) -> ModalResult<Expectation> {
    preceded(word("version-of"), (place, number))
        .map(|(place, text)| Expectation::VersionOf { place, text })
        .parse_next(input)
}

fn answer(input: &mut &str) -> ModalResult<Expectation> {
    let kind = alt((
        word("whole").value(AnswerKind::Whole),
        word("not-run").value(AnswerKind::NotRun),
        word("unknown").value(AnswerKind::Unknown),
    ));
    preceded(word("answer"), (name, kind, within))
        .map(|(name, kind, within)| Expectation::Answer { name, kind, within })
        .parse_next(input)
}

fn runs(input: &mut &str) -> ModalResult<Expectation> {
    let bound = alt((
        word("at-most").value(Bound::AtMost),
        word("exactly").value(Bound::Exactly),
    ));
    preceded(word("runs"), (name, bound, number))
        .map(|(key, bound, count)| Expectation::Runs { key, bound, count })
        .parse_next(input)
}

fn no_new_work(input: &mut &str) -> ModalResult<Expectation> {
    preceded(word("no-new-work"), (place, preceded(word("after"), time)))
        .map(|(place, after)| Expectation::NoNewWork { place, after })
        .parse_next(input)
}

fn sent(input: &mut &str) -> ModalResult<Expectation> {
    let count = preceded(word("at-most"), number);
    let span = preceded(word("in"), time);
    let since = preceded(word("since"), time);
    preceded(word("sent"), (place, count, span, since))
        .map(|(place, count, span, since)| Expectation::Sent {
            place,
            count,
            span,
            since,
        })
        .parse_next(input)
}

fn within(input: &mut &str) -> ModalResult<Duration> {
    opt(preceded(word("within"), time))
        .map(Option::unwrap_or_default)
        .parse_next(input)
}

fn place(input: &mut &str) -> ModalResult<Place> {
    alt((
        word("everywhere").value(Place::Everywhere),
        preceded(word("zone"), zone).map(Place::Zone),
        node.map(Place::Node),
    ))
    .parse_next(input)
}

fn node(input: &mut &str) -> ModalResult<usize> {
    preceded('n', number).verify(|n| *n > 0).parse_next(input)
}

fn zone(input: &mut &str) -> ModalResult<ZoneName> {
    token.try_map(ZoneName::from_str).parse_next(input)
}

fn name(input: &mut &str) -> ModalResult<String> {
    token.map(str::to_owned).parse_next(input)
}

fn time(input: &mut &str) -> ModalResult<Duration> {
    token.try_map(humantime::parse_duration).parse_next(input)
}

fn share(input: &mut &str) -> ModalResult<Share> {
    token.try_map(Share::from_str).parse_next(input)
}

fn rate(input: &mut &str) -> ModalResult<u32> {
    let per_second = terminated(digit1, "/s").try_map(u32::from_str);
    terminated(per_second, word_end).parse_next(input)
}

fn number<N: FromStr>(input: &mut &str) -> ModalResult<N>
where
    N::Err: std::error::Error + Send + Sync + 'static,
{
    terminated(digit1.try_map(N::from_str), word_end).parse_next(input)
}

/// Parses a word of any characters but white space and `#`, and the space after it.
fn token<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    let word = take_while(1.., |c: char| !c.is_whitespace() && c != '#');
    terminated(word, word_end).parse_next(input)
}

/// Parses the given keyword and the space after it.
fn word<'a>(text: &'static str) -> impl Parser<&'a str, (), ErrMode<ContextError>> {
    terminated(text, word_end).void()
}

fn word_end(input: &mut &str) -> ModalResult<()> {
    alt((space1.void(), eof.void(), peek('#').void())).parse_next(input)
}
