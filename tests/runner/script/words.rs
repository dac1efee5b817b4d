//! The words of a statement, and how they are read.

use std::collections::BTreeMap;

/// Reads seconds; in microseconds.
pub(super) fn micros(text: &str) -> Option<u64> {
    let s: f64 = text.parse().ok()?;
    (s >= 0.0).then_some((s * 1e6) as u64)
}

/// Reads the number of a job.
pub(super) fn job(text: &str) -> Option<u64> {
    text.strip_prefix("req-")?.parse().ok()
}

/// Reads an amount.
pub(super) fn parse_amount(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|amount| *amount >= 0.0)
}

/// Reads a count.
pub(super) fn parse_count(text: &str) -> Option<u64> {
    text.parse().ok()
}

/// Reads any word.
pub(super) fn parse_text(text: &str) -> Option<String> {
    Some(text.to_owned())
}

/// The words of a statement: those without a key, in their order, and those of the form `key=value`.
pub(super) struct StatementWords<'a> {
    pub positional: Vec<&'a str>,
    pub named: BTreeMap<&'a str, &'a str>,
}

impl<'a> StatementWords<'a> {
    pub fn parse(line: &'a str) -> StatementWords<'a> {
        let (named, positional): (Vec<&str>, Vec<&str>) =
            line.split_whitespace().partition(|w| w.contains('='));
        StatementWords {
            positional,
            named: named
                .into_iter()
                .filter_map(|w| w.split_once('='))
                .collect(),
        }
    }

    pub fn optional<T>(
        &mut self,
        key: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, String> {
        match self.named.remove(key) {
            None => Ok(None),
            Some(v) => parse(v)
                .map(Some)
                .ok_or(format!("{key}={v} is not understood")),
        }
    }

    pub fn required<T>(
        &mut self,
        key: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, String> {
        self.optional(key, parse)?
            .ok_or(format!("{key}= is missing"))
    }

    pub fn positional<T>(&self, at: usize, parse: impl Fn(&str) -> Option<T>) -> Result<T, String> {
        let text = self
            .positional
            .get(at)
            .ok_or("a word is missing".to_owned())?;
        parse(text).ok_or(format!("{text} is not understood"))
    }

    pub fn finish(self, positional_count: usize) -> Result<(), String> {
        match (
            self.named.keys().next(),
            self.positional.get(positional_count),
        ) {
            (Some(k), _) => Err(format!("unknown key {k}")),
            (_, Some(w)) => Err(format!("{w} is one word too many")),
            _ => Ok(()),
        }
    }
}
