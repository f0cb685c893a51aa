//! Syntax of one line, shared by rules texts and manifests.

use std::ops::Range;

use winnow::LocatingSlice;
use winnow::Parser;
use winnow::ascii::space0;
use winnow::ascii::space1;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::error::ContextError;
use winnow::error::ErrMode;
use winnow::token::rest;
use winnow::token::take_while;

use crate::Location;
use crate::Problem;

const EXPECTED_ITEM: &str = "a word, `key=value` or `# who asked`";
const EXPECTED_COMMENT: &str = "`# who asked`";
const END_OF_LINE: &str = "the end of the line";

type Input<'a> = LocatingSlice<&'a str>;

/// Word of a line with its location.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Word<'a> {
    pub(crate) location: Location,
    pub(crate) text: &'a str,
}

/// Argument (a word without a value), or a key with its value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Item<'a> {
    pub(crate) key: Word<'a>,
    pub(crate) value: Option<Word<'a>>,
}

/// Line split into words, without regard to the keyword.
#[derive(Debug)]
pub(crate) struct Line<'a> {
    pub(crate) keyword: Word<'a>,
    pub(crate) items: Vec<Item<'a>>,
    /// End of the rule, where a missing word or comment is reported.
    pub(crate) end: Location,
}

impl<'a> Line<'a> {
    /// Returns the words after the keyword that have no value.
    pub(crate) fn arguments(&self) -> impl Iterator<Item = Word<'a>> {
        let arguments = self.items.iter().filter(|item| item.value.is_none());
        arguments.map(|item| item.key)
    }

    /// Returns the keys with their values, in the order of the line.
    pub(crate) fn key_values(&self) -> impl Iterator<Item = (Word<'a>, Word<'a>)> {
        let pair = |item: &Item<'a>| item.value.map(|value| (item.key, value));
        self.items.iter().filter_map(pair)
    }

    /// Returns the value of the first occurrence of a key.
    pub(crate) fn value(&self, key: &str) -> Option<Word<'a>> {
        let mut pairs = self.key_values();
        pairs.find(|(k, _)| k.text == key).map(|(_, value)| value)
    }
}

/// Splits a line into words and records its problems. Returns `None` for a
/// blank line, a line with only a comment, and malformed syntax.
pub(crate) fn parse<'a>(
    number: usize,
    text: &'a str,
    problems: &mut Vec<Problem>,
) -> Option<Line<'a>> {
    let body = text.trim_start();
    if body.is_empty() || body.starts_with('#') {
        return None;
    }
    let comment = opt(preceded('#', rest));
    let (line, comment) = (rule(number), comment)
        .parse(LocatingSlice::new(text))
        .map_err(|err| problems.push(unexpected_char(number, text, err.offset())))
        .ok()?;
    match comment.map(str::trim) {
        Some("") => problems.push(Problem::new(line.end, EXPECTED_COMMENT, "an empty comment")),
        None => problems.push(Problem::new(line.end, EXPECTED_COMMENT, END_OF_LINE)),
        Some(_) => {}
    }
    Some(line)
}

fn unexpected_char(line: usize, text: &str, offset: usize) -> Problem {
    let found = text.get(offset..).and_then(|tail| tail.chars().next());
    let found = found.map_or(END_OF_LINE.to_owned(), |c| format!("{c:?}"));
    Problem::new(location(line, offset), EXPECTED_ITEM, found)
}

fn rule<'a>(number: usize) -> impl Parser<Input<'a>, Line<'a>, ErrMode<ContextError>> {
    move |input: &mut Input<'a>| {
        let keyword = preceded(space0, word(number)).parse_next(input)?;
        let items = repeat(0.., preceded(space1, item(number))).parse_next(input)?;
        let gap: Range<usize> = space0.span().parse_next(input)?;
        let end = location(number, gap.end);
        Ok(Line {
            keyword,
            items,
            end,
        })
    }
}

fn item<'a>(number: usize) -> impl Parser<Input<'a>, Item<'a>, ErrMode<ContextError>> {
    let value = opt(preceded('=', value_word(number)));
    (word(number), value).map(|(key, value)| Item { key, value })
}

fn word<'a>(number: usize) -> impl Parser<Input<'a>, Word<'a>, ErrMode<ContextError>> {
    delimited_word(number, |c| c != '=')
}

/// Parses a value, which may contain `=`.
fn value_word<'a>(number: usize) -> impl Parser<Input<'a>, Word<'a>, ErrMode<ContextError>> {
    delimited_word(number, |_| true)
}

fn delimited_word<'a>(
    number: usize,
    accepts: fn(char) -> bool,
) -> impl Parser<Input<'a>, Word<'a>, ErrMode<ContextError>> {
    take_while(1.., move |c: char| {
        !c.is_whitespace() && c != '#' && accepts(c)
    })
    .with_span()
    .map(move |(text, span): (&str, Range<usize>)| Word {
        location: location(number, span.start),
        text,
    })
}

fn location(line: usize, offset: usize) -> Location {
    Location {
        line,
        column: offset + 1,
    }
}
