//! Collection of the rules and problems of a text while it is parsed.

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

/// Rules parsed so far, and the problems found in them.
///
/// The rules are incomplete until every line is parsed, because a line may
/// refer to later ones. `parse` merges `kinds`, `retries` and `splits` into the
/// snapshot if there are no problems.
#[derive(Debug, Default)]
pub(crate) struct SnapshotBuilder<'a> {
    pub(crate) problems: Vec<Problem>,
    pub(crate) epoch: Epoch,
    pub(crate) snapshot: Snapshot,
    pub(crate) kinds: Vec<(ServiceName, Kind)>,
    pub(crate) retries: HashMap<ServiceName, RetryPolicy>,
    pub(crate) splits: HashMap<RouteName, Vec<Split>>,
    /// Request kind of each route, by route name.
    pub(crate) route_kinds: HashMap<&'a str, &'a str>,
    /// Services of all splits, each with its route name.
    pub(crate) split_services: Vec<(&'a str, Word<'a>)>,
    /// Defined symbols with their line numbers.
    symbols: HashMap<Symbol<'a>, usize>,
    /// Symbols that must be defined, each with the word that refers to it.
    references: Vec<(Word<'a>, Symbol<'a>)>,
}

impl<'a> SnapshotBuilder<'a> {
    /// Creates an empty builder with capacity for a text of `lines` lines.
    pub(crate) fn with_capacity(lines: usize) -> Self {
        Self {
            symbols: HashMap::with_capacity(lines * SYMBOLS_PER_LINE),
            references: Vec::with_capacity(lines * REFERENCES_PER_LINE),
            ..Self::default()
        }
    }

    /// Records a problem, with the text found in quotes.
    pub(crate) fn report(&mut self, location: Location, expected: impl Into<String>, found: &str) {
        let found = format!("{found:?}");
        self.problems.push(Problem::new(location, expected, found));
    }

    /// Records the definition of a symbol, or a problem if it is already defined.
    pub(crate) fn define(&mut self, word: Word<'a>, symbol: Symbol<'a>) {
        if let Some(line) = self.symbols.get(&symbol) {
            let found = format!("{:?}, already defined on line {line}", word.text);
            let problem = Problem::new(word.location, symbol.expected_unique(), found);
            self.problems.push(problem);
            return;
        }
        self.symbols.insert(symbol, word.location.line);
    }

    /// Marks a symbol as defined. Unlike [`define`](Self::define), this accepts
    /// any number of definitions.
    pub(crate) fn mark_defined(&mut self, symbol: Symbol<'a>) {
        self.symbols.entry(symbol).or_default();
    }

    /// Records a reference to a symbol that some line must define.
    pub(crate) fn reference(&mut self, word: Word<'a>, symbol: Symbol<'a>) {
        self.references.push((word, symbol));
    }

    /// Returns the first argument, and records a problem if there is none or
    /// more than one.
    pub(crate) fn sole_argument(&mut self, line: &Line<'a>) -> Option<Word<'a>> {
        self.argument_with_flag(line, None).map(|(word, _)| word)
    }

    /// Returns the first argument, and whether `flag` follows it. Records a problem if
    /// there is no argument, or another one.
    pub(crate) fn argument_with_flag(
        &mut self,
        line: &Line<'a>,
        flag: Option<&str>,
    ) -> Option<(Word<'a>, bool)> {
        let mut has_flag = false;
        let mut arguments = line.arguments();
        let Some(word) = arguments.next() else {
            let expected = format!("a name after `{}`", line.keyword.text);
            self.problems
                .push(Problem::new(line.end, expected, "no name"));
            return None;
        };
        for extra in arguments {
            if !has_flag && flag == Some(extra.text) {
                has_flag = true;
            } else {
                self.report(extra.location, "`key=value`", extra.text);
            }
        }
        Some((word, has_flag))
    }

    /// Parses a word, or records a problem and returns `None`.
    pub(crate) fn parse<T: Value>(&mut self, word: Word<'a>) -> Option<T> {
        match T::parse(word.text) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.report(word.location, expected.0, word.text);
                None
            }
        }
    }

    /// Parses the value of a required key.
    pub(crate) fn required<T: Value>(&mut self, line: &Line<'a>, key: &str) -> Option<T> {
        let word = self.required_word(line, key)?;
        self.parse(word)
    }

    /// Returns the value of a required key, or records a problem if the key is
    /// missing.
    pub(crate) fn required_word(&mut self, line: &Line<'a>, key: &str) -> Option<Word<'a>> {
        let word = line.value(key);
        if word.is_none() {
            let problem = Problem::new(line.end, format!("`{key}=`"), "no such key");
            self.problems.push(problem);
        }
        word
    }

    /// Parses the value of a key, or returns `default` if the key is missing.
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

    /// Records a problem for every reference to an undefined symbol, and one if
    /// the epoch is missing.
    pub(crate) fn resolve(&mut self) {
        self.reference_split_kinds();
        for (word, symbol) in std::mem::take(&mut self.references) {
            if !self.symbols.contains_key(&symbol) && self.is_owner_defined(&symbol) {
                self.report(word.location, symbol.expected_definition(), word.text);
            }
        }
        if !self.symbols.contains_key(&Symbol::Epoch) {
            let start = Location { line: 1, column: 1 };
            let problem = Problem::new(start, "a line such as `epoch 1  # who asked`", "no epoch");
            self.problems.push(problem);
        }
    }

    /// Records references from each service of a split to the route's request
    /// kind, which every such service must have.
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

    /// Returns `false` if the symbol belongs to an undefined service. A problem
    /// about its kind or upstream would repeat the problem about the service.
    fn is_owner_defined(&self, symbol: &Symbol<'a>) -> bool {
        match symbol {
            Symbol::Kind { service, .. } | Symbol::UpstreamOf(service) => {
                self.symbols.contains_key(&Symbol::Service(service))
            }
            _ => true,
        }
    }
}
