//! Matching of common lines in two texts, as in a patience diff.

use std::collections::HashMap;

type Lines<'a> = [&'a [u8]];

/// Run of consecutive lines that both texts contain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CommonRun {
    /// Index of the first line in the base.
    pub(crate) base: usize,
    /// Index of the first line in the result.
    pub(crate) result: usize,
    /// Number of lines; 0 for a missing common prefix or suffix.
    pub(crate) lines: usize,
}

/// Finds runs of common lines in `O(n log n)` time for any input.
///
/// The common prefix and suffix are matched first. Between them, lines that
/// occur exactly once in each text are paired. The longest increasing
/// subsequence of these pairs is kept, and each pair is extended over the equal
/// lines that follow it.
pub(crate) fn common_runs(base: &Lines<'_>, result: &Lines<'_>) -> Vec<CommonRun> {
    let start = common_prefix(base, result);
    let (base_rest, result_rest) = (&base[start..], &result[start..]);
    let end = common_suffix(base_rest, result_rest);
    let base_middle = &base_rest[..base_rest.len() - end];
    let result_middle = &result_rest[..result_rest.len() - end];
    let mut runs = vec![run(0, 0, start)];
    for common in unique_runs(base_middle, result_middle) {
        runs.push(run(
            start + common.base,
            start + common.result,
            common.lines,
        ));
    }
    runs.push(run(base.len() - end, result.len() - end, end));
    runs
}

fn run(base: usize, result: usize, lines: usize) -> CommonRun {
    CommonRun {
        base,
        result,
        lines,
    }
}

fn common_prefix(a: &Lines<'_>, b: &Lines<'_>) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}

fn common_suffix(a: &Lines<'_>, b: &Lines<'_>) -> usize {
    let pairs = a.iter().rev().zip(b.iter().rev());
    pairs.take_while(|(a, b)| a == b).count()
}

fn unique_runs(base: &Lines<'_>, result: &Lines<'_>) -> Vec<CommonRun> {
    let mut runs = Vec::new();
    let (mut from, mut to) = (0, 0);
    for (i, j) in longest_increasing(&unique_pairs(base, result)) {
        if i < from || j < to {
            continue;
        }
        let lines = common_prefix(&base[i..], &result[j..]);
        runs.push(run(i, j, lines));
        (from, to) = (i + lines, j + lines);
    }
    runs
}

/// Pairs the lines that occur exactly once in each text, in the order of the
/// result.
fn unique_pairs(base: &Lines<'_>, result: &Lines<'_>) -> Vec<(usize, usize)> {
    let in_base = unique_lines(base);
    let mut pairs: Vec<_> = unique_lines(result)
        .into_iter()
        .filter_map(|(line, j)| Some((*in_base.get(line)?, j)))
        .collect();
    pairs.sort_unstable_by_key(|(_, j)| *j);
    pairs
}

fn unique_lines<'a>(lines: &Lines<'a>) -> HashMap<&'a [u8], usize> {
    let mut positions: HashMap<&[u8], Option<usize>> = HashMap::with_capacity(lines.len());
    for (i, line) in lines.iter().enumerate() {
        let position = positions.entry(line);
        position.and_modify(|p| *p = None).or_insert(Some(i));
    }
    let unique = positions.into_iter();
    unique
        .filter_map(|(line, position)| Some((line, position?)))
        .collect()
}

/// Returns the longest subsequence of pairs with increasing base indices. The
/// pairs are already sorted by result index.
fn longest_increasing(pairs: &[(usize, usize)]) -> Vec<(usize, usize)> {
    // `tails[n]` is the last pair of the best subsequence of `n + 1` pairs so far.
    let mut tails: Vec<usize> = Vec::new();
    let mut predecessors: Vec<Option<usize>> = Vec::with_capacity(pairs.len());
    for (at, (i, _)) in pairs.iter().enumerate() {
        let length = tails.partition_point(|tail| pairs[*tail].0 < *i);
        predecessors.push(length.checked_sub(1).map(|n| tails[n]));
        match tails.get_mut(length) {
            Some(tail) => *tail = at,
            None => tails.push(at),
        }
    }
    let mut sequence: Vec<_> = std::iter::successors(tails.last().copied(), |at| predecessors[*at])
        .map(|at| pairs[at])
        .collect();
    sequence.reverse();
    sequence
}
