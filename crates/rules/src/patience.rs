//! Lines that two texts have in common, in the order of both.

use std::collections::HashMap;

type Lines<'a> = [&'a [u8]];

/// Lines that stand alike in both texts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Common {
    /// First of them in the base.
    pub(crate) base: usize,
    /// First of them in the result.
    pub(crate) result: usize,
    /// How many there are.
    pub(crate) lines: usize,
}

/// Finds runs of common lines, in time `n log n` whatever the texts are.
///
/// The common start and end are found first. Between them, lines that stand
/// once in each text are matched, the longest sequence of them that rises in
/// both is kept, and each match is extended over the equal lines after it.
pub(crate) fn anchors(base: &Lines<'_>, result: &Lines<'_>) -> Vec<Common> {
    let start = common_start(base, result);
    let (base_rest, result_rest) = (&base[start..], &result[start..]);
    let end = common_end(base_rest, result_rest);
    let base_middle = &base_rest[..base_rest.len() - end];
    let result_middle = &result_rest[..result_rest.len() - end];
    let mut found = vec![run(0, 0, start)];
    for common in middle(base_middle, result_middle) {
        found.push(run(
            start + common.base,
            start + common.result,
            common.lines,
        ));
    }
    found.push(run(base.len() - end, result.len() - end, end));
    found
}

fn run(base: usize, result: usize, lines: usize) -> Common {
    Common {
        base,
        result,
        lines,
    }
}

fn common_start(a: &Lines<'_>, b: &Lines<'_>) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}

fn common_end(a: &Lines<'_>, b: &Lines<'_>) -> usize {
    let pairs = a.iter().rev().zip(b.iter().rev());
    pairs.take_while(|(a, b)| a == b).count()
}

fn middle(base: &Lines<'_>, result: &Lines<'_>) -> Vec<Common> {
    let mut found = Vec::new();
    let (mut from, mut to) = (0, 0);
    for (i, j) in rising(&unique_pairs(base, result)) {
        if i < from || j < to {
            continue;
        }
        let lines = common_start(&base[i..], &result[j..]);
        found.push(run(i, j, lines));
        (from, to) = (i + lines, j + lines);
    }
    found
}

/// Pairs the lines that stand once in each text, in the order of the result.
fn unique_pairs(base: &Lines<'_>, result: &Lines<'_>) -> Vec<(usize, usize)> {
    let in_base = unique(base);
    let mut pairs: Vec<_> = unique(result)
        .into_iter()
        .filter_map(|(line, j)| Some((*in_base.get(line)?, j)))
        .collect();
    pairs.sort_unstable_by_key(|(_, j)| *j);
    pairs
}

fn unique<'a>(lines: &Lines<'a>) -> HashMap<&'a [u8], usize> {
    let mut places: HashMap<&[u8], Option<usize>> = HashMap::with_capacity(lines.len());
    for (i, line) in lines.iter().enumerate() {
        let place = places.entry(line);
        place.and_modify(|p| *p = None).or_insert(Some(i));
    }
    let once = places.into_iter();
    once.filter_map(|(line, place)| Some((line, place?)))
        .collect()
}

/// Returns the longest sequence of pairs whose first part rises too.
fn rising(pairs: &[(usize, usize)]) -> Vec<(usize, usize)> {
    // `ends[n]` is the pair that ends the best sequence of `n + 1` pairs so far.
    let mut ends: Vec<usize> = Vec::new();
    let mut before: Vec<Option<usize>> = Vec::with_capacity(pairs.len());
    for (at, (i, _)) in pairs.iter().enumerate() {
        let length = ends.partition_point(|end| pairs[*end].0 < *i);
        before.push(length.checked_sub(1).map(|n| ends[n]));
        match ends.get_mut(length) {
            Some(end) => *end = at,
            None => ends.push(at),
        }
    }
    let mut sequence: Vec<_> = std::iter::successors(ends.last().copied(), |at| before[*at])
        .map(|at| pairs[at])
        .collect();
    sequence.reverse();
    sequence
}
