//! What the lines of a text say, before it is known to be whole.

use std::collections::HashMap;

use celeryshore_model::Epoch;
use celeryshore_model::Kind;
use celeryshore_model::RetryPolicy;
use celeryshore_model::RouteName;
use celeryshore_model::ServiceName;
use celeryshore_model::Snapshot;
use celeryshore_model::Split;

use crate::Location;
use crate::Problem;
use crate::line::Line;
use crate::line::Word;
use crate::symbol::Symbol;
use crate::value::Value;

const SYMBOLS_PER_LINE: usize = 4;
const REFERENCES_PER_LINE: usize = 2;

/// What the lines of a text say, and what is wrong with them.
#[derive(Debug, Default)]
pub(crate) struct SnapshotBuilder<'a> {
    pub(crate) problems: Vec<Problem>,
    pub(crate) epoch: Epoch,
    pub(crate) snapshot: Snapshot,
    pub(crate) kinds: Vec<(ServiceName, Kind)>,
    pub(crate) retries: HashMap<ServiceName, RetryPolicy>,
    pub(crate) splits: HashMap<RouteName, Vec<Split>>,
    pub(crate) route_kinds: HashMap<&'a str, &'a str>,
    pub(crate) split_services: Vec<(&'a str, Word<'a>)>,
    symbols: HashMap<Symbol<'a>, usize>,
    references: Vec<(Word<'a>, Symbol<'a>)>,
}

impl<'a> SnapshotBuilder<'a> {
    /// Makes an empty builder with room for the symbols of some lines.
    pub(crate) fn with_capacity(lines: usize) -> Self {
        Self {
            symbols: HashMap::with_capacity(lines * SYMBOLS_PER_LINE),
            references: Vec::with_capacity(lines * REFERENCES_PER_LINE),
            ..Self::default()
        }
    }

    /// Records a fault.
    pub(crate) fn report(&mut self, location: Location, expected: impl Into<String>, found: &str) {
        let found = format!("{found:?}");
        self.problems.push(Problem::new(location, expected, found));
    }

    /// Records that a word defines a symbol, which may be defined once only.
    pub(crate) fn define(&mut self, word: Word<'a>, symbol: Symbol<'a>) {
        if let Some(line) = self.symbols.get(&symbol) {
            let found = format!("{:?}, which line {line} has", word.text);
            let problem = Problem::new(word.location, symbol.expected_unique(), found);
            self.problems.push(problem);
            return;
        }
        self.symbols.insert(symbol, word.location.line);
    }

    /// Records that a symbol is there, however often.
    pub(crate) fn mark_defined(&mut self, symbol: Symbol<'a>) {
        self.symbols.entry(symbol).or_default();
    }

    /// Records that some line has to define a symbol.
    pub(crate) fn reference(&mut self, word: Word<'a>, symbol: Symbol<'a>) {
        self.references.push((word, symbol));
    }

    /// Returns the only bare word after the keyword.
    pub(crate) fn sole_argument(&mut self, line: &Line<'a>) -> Option<Word<'a>> {
        let mut arguments = line.arguments();
        let Some(word) = arguments.next() else {
            let expected = format!("a name after `{}`", line.keyword.text);
            self.problems
                .push(Problem::new(line.end, expected, "no name"));
            return None;
        };
        for extra in arguments {
            self.report(extra.location, "`key=value`", extra.text);
        }
        Some(word)
    }

    /// Parses a word.
    pub(crate) fn parse<T: Value>(&mut self, word: Word<'a>) -> Option<T> {
        match T::parse(word.text) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.report(word.location, expected.0, word.text);
                None
            }
        }
    }

    /// Parses the value of a key that has to be there.
    pub(crate) fn required<T: Value>(&mut self, line: &Line<'a>, key: &str) -> Option<T> {
        let word = self.required_word(line, key)?;
        self.parse(word)
    }

    /// Returns the value of a key that has to be there.
    pub(crate) fn required_word(&mut self, line: &Line<'a>, key: &str) -> Option<Word<'a>> {
        let word = line.value(key);
        if word.is_none() {
            let problem = Problem::new(line.end, format!("`{key}=`"), "no such key");
            self.problems.push(problem);
        }
        word
    }

    /// Parses the value of a key, or takes the default if the key is not there.
    pub(crate) fn optional<T: Value>(
        &mut self,
        line: &Line<'a>,
        key: &str,
        default: T,
    ) -> Option<T> {
        match line.value(key) {
            Some(word) => self.parse(word),
            None => Some(default),
        }
    }

    /// Records a fault for every reference to something that no line defines.
    pub(crate) fn resolve(&mut self) {
        self.reference_split_kinds();
        for (word, symbol) in std::mem::take(&mut self.references) {
            if !self.symbols.contains_key(&symbol) && self.is_owner_defined(&symbol) {
                self.report(word.location, symbol.expected_definition(), word.text);
            }
        }
        if !self.symbols.contains_key(&Symbol::Epoch) {
            let top = Location { line: 1, column: 1 };
            let problem = Problem::new(top, "a line such as `epoch 1  # who asked`", "no epoch");
            self.problems.push(problem);
        }
    }

    /// Every service of a split has to have the kind of the route.
    fn reference_split_kinds(&mut self) {
        for (route, service) in std::mem::take(&mut self.split_services) {
            if let Some(kind) = self.route_kinds.get(route).copied() {
                let symbol = Symbol::Kind {
                    service: service.text,
                    kind,
                };
                self.reference(service, symbol);
            }
        }
    }

    /// A fault about a kind or an upstream of a missing service would repeat the
    /// fault about the service.
    fn is_owner_defined(&self, symbol: &Symbol<'a>) -> bool {
        match symbol {
            Symbol::Kind { service, .. } | Symbol::UpstreamOf(service) => {
                self.symbols.contains_key(&Symbol::Service(service))
            }
            _ => true,
        }
    }
}
