//! Owns what is kept of each seed, and how two runs over the same seeds are set side by side.
//!
//! It must never compare seeds that were not played in both.

use std::collections::BTreeMap;

use crate::outcome::RunOutcome;

const HEAD: &str = "seed,benefit,asked,commands,digest";

/// A line a seed: its number, the benefit kept, the benefit asked for, the commands sent, its trace's digest.
pub fn text(played: &[(u64, RunOutcome)]) -> String {
    let line = |(seed, p): &(u64, RunOutcome)| {
        format!(
            "{seed},{},{},{},{:016x}\n",
            p.benefit, p.possible_benefit, p.requests, p.digest
        )
    };
    format!("{HEAD}\n{}", played.iter().map(line).collect::<String>())
}

/// By seed, the part of the benefit that was kept.
fn read(file: &str) -> Result<BTreeMap<u64, f64>, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let mut lines = text.lines().enumerate();
    if lines.next().is_none_or(|(_, head)| head != HEAD) {
        return Err(format!("{file}:1: expected {HEAD}"));
    }
    let kept = lines.map(|(n, line)| {
        let mut fields = line.split(',');
        let seed = fields.next().and_then(|f| f.parse().ok());
        let mut figure = || fields.next().and_then(|f| f.parse::<f64>().ok());
        match (seed, figure(), figure()) {
            (Some(seed), Some(benefit), Some(asked)) if asked > 0.0 => Ok((seed, benefit / asked)),
            _ => Err(format!(
                "{file}:{}: expected a seed, a benefit and what was asked for",
                n + 1
            )),
        }
    });
    kept.collect()
}

/// The means, the mean difference with its standard error, and how many seeds gained or lost by it.
pub fn files(before: &str, after: &str) -> Result<String, String> {
    let (before, after) = (read(before)?, read(after)?);
    let pairs: Vec<(f64, f64)> = before
        .iter()
        .filter_map(|(seed, b)| after.get(seed).map(|a| (*b, *a)))
        .collect();
    if pairs.len() < 2 {
        return Err("fewer than two seeds are in both".to_owned());
    }
    let n = pairs.len() as f64;
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| pairs.iter().map(of).sum::<f64>() / n;
    let difference = mean(&|(b, a)| a - b);
    let variance = mean(&|(b, a)| (a - b - difference).powi(2)) * n / (n - 1.0);
    let least =
        |of: &dyn Fn(&(f64, f64)) -> f64| pairs.iter().map(of).fold(f64::INFINITY, f64::min);
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
        least(&|(b, _)| *b),
        least(&|(_, a)| *a),
    ))
}
