//! The file of results by seed that `run --each` writes, and the comparison of two such files.
//!
//! # Invariants
//!
//! - Only seeds that are in both files are compared.

use std::collections::BTreeMap;

use crate::outcome::RunOutcome;

/// The first line of the file.
const HEADER: &str = "seed,benefit,asked,commands,digest";

/// The file's content, with one line for each seed: its number, the benefit of the answered requests, the benefit of all
/// requests, the number of requests sent, and the trace's digest.
pub fn results_csv(played: &[(u64, RunOutcome)]) -> String {
    let line = |(seed, p): &(u64, RunOutcome)| {
        format!(
            "{seed},{},{},{},{:016x}\n",
            p.benefit, p.possible_benefit, p.requests, p.digest
        )
    };
    format!("{HEADER}\n{}", played.iter().map(line).collect::<String>())
}

/// Reads a file of results: by seed, the achieved fraction of the benefit.
fn read_benefit_ratios(file: &str) -> Result<BTreeMap<u64, f64>, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let mut lines = text.lines().enumerate();
    if lines.next().is_none_or(|(_, header)| header != HEADER) {
        return Err(format!("{file}:1: expected {HEADER}"));
    }
    let ratios = lines.map(|(n, line)| {
        let mut fields = line.split(',');
        let seed = fields.next().and_then(|f| f.parse().ok());
        let mut next_number = || fields.next().and_then(|f| f.parse::<f64>().ok());
        match (seed, next_number(), next_number()) {
            (Some(seed), Some(benefit), Some(asked)) if asked > 0.0 => Ok((seed, benefit / asked)),
            _ => Err(format!(
                "{file}:{}: expected a seed, a benefit and the benefit asked for",
                n + 1
            )),
        }
    });
    ratios.collect()
}

/// Compares two files of results, of which only the seeds in both count. Returns one line: the means, the mean difference
/// with its standard error, the worst seeds, and how many seeds gained or lost more than 0.001.
///
/// # Errors
///
/// When a file cannot be read or is malformed, or when fewer than two seeds are in both.
pub fn compare_files(before: &str, after: &str) -> Result<String, String> {
    let (before, after) = (read_benefit_ratios(before)?, read_benefit_ratios(after)?);
    let pairs: Vec<(f64, f64)> = before
        .iter()
        .filter_map(|(seed, b)| after.get(seed).map(|a| (*b, *a)))
        .collect();
    if pairs.len() < 2 {
        return Err("fewer than two seeds are in both".to_owned());
    }
    let n = pairs.len() as f64;
    let mean = |value: &dyn Fn(&(f64, f64)) -> f64| pairs.iter().map(value).sum::<f64>() / n;
    let difference = mean(&|(b, a)| a - b);
    let variance = mean(&|(b, a)| (a - b - difference).powi(2)) * n / (n - 1.0);
    let minimum =
        |value: &dyn Fn(&(f64, f64)) -> f64| pairs.iter().map(value).fold(f64::INFINITY, f64::min);
    let (gained, lost) = (
        pairs.iter().filter(|(b, a)| a - b > 0.001).count(),
        pairs.iter().filter(|(b, a)| b - a > 0.001).count(),
    );
    Ok(format!(
        "{} seeds: mean {:.4} to {:.4}, difference {difference:+.4} (standard error {:.4}), worst seed {:.3} to {:.3}, \
         {gained} gained, {lost} lost",
        pairs.len(),
        mean(&|(b, _)| *b),
        mean(&|(_, a)| *a),
        (variance / n).sqrt(),
        minimum(&|(b, _)| *b),
        minimum(&|(_, a)| *a),
    ))
}
