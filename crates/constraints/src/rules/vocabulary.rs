//! The traits that rules may test.

use super::file::{LabelTable, Labels};
use super::{LabelProblem, RulesError};
use crate::expr::{Comparison, Expr, Operand, Position, Test};
use crate::parse::ParseError;
use crate::value::{Dimension, Sort};
use std::collections::BTreeMap;

/// Traits that every machine has by its type, its zone and whether it is a spot machine.
pub const BUILT_IN: [(&str, Sort); 10] = [
    ("type", Sort::Word),
    ("zone", Sort::Word),
    ("spot", Sort::Flag),
    ("cores", Sort::Number(Dimension::Plain)),
    ("accelerators", Sort::Number(Dimension::Plain)),
    ("memory", Sort::Number(Dimension::Size)),
    ("cache", Sort::Number(Dimension::Size)),
    ("fetch", Sort::Number(Dimension::Rate)),
    ("price", Sort::Number(Dimension::Plain)),
    ("boot", Sort::Number(Dimension::Time)),
];

/// Jaro-Winkler similarity of names above which a known trait is suggested for an unknown one.
const SUGGESTION_SIMILARITY_THRESHOLD: f64 = 0.8;

/// The traits that rules may test, with their sorts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vocabulary(BTreeMap<String, Sort>);

impl Vocabulary {
    /// The built-in traits and the labels.
    ///
    /// # Errors
    /// The first label with an invalid name or value, or with values of different sorts.
    pub(super) fn of(labels: &Labels) -> Result<Vocabulary, RulesError> {
        let mut known: BTreeMap<String, Sort> = BTreeMap::new();
        for table in tables(labels) {
            for (name, value) in table {
                let fail = |problem| RulesError::Label {
                    label: name.clone(),
                    problem,
                };
                check_label_name(name).map_err(fail)?;
                let here = value.value().map_err(fail)?.sort();
                let earlier = known.insert(name.clone(), here);
                if let Some(there) = earlier.filter(|there| *there != here) {
                    return Err(fail(LabelProblem::Conflict { here, there }));
                }
            }
        }
        known.extend(BUILT_IN.map(|(name, sort)| (name.to_owned(), sort)));
        Ok(Vocabulary(known))
    }

    /// The error of a test that tests an unknown trait, or a trait of another sort; `None` if the test is valid.
    pub(super) fn mismatch(&self, test: &Expr) -> Option<ParseError> {
        let Expr::Trait(name, test, at) = test else {
            return None;
        };
        let Some(sort) = self.0.get(name) else {
            return Some(self.unknown_trait(name, *at));
        };
        let expected = expected_sort(test)?;
        let is_ordered_word = *sort == Sort::Word && orders_words(test);
        if is_ordered_word {
            let message = format!("`{name}` is a word: only = and != are for words");
            return Some(ParseError::at(*at, message));
        }
        (*sort != expected).then(|| {
            let message = format!(
                "`{name}` is {}, and is asked as if it were {}",
                sort.description(),
                expected.description()
            );
            ParseError::at(*at, message)
        })
    }

    fn unknown_trait(&self, name: &str, at: Position) -> ParseError {
        let most_similar = self
            .0
            .keys()
            .map(|known| (strsim::jaro_winkler(known, name), known))
            .filter(|(similarity, _)| *similarity > SUGGESTION_SIMILARITY_THRESHOLD)
            .max_by(|a, b| a.0.total_cmp(&b.0));
        let hint =
            most_similar.map_or(String::new(), |(_, known)| format!("; is `{known}` meant?"));
        ParseError::at(at, format!("no machine has a trait `{name}`{hint}"))
    }
}

fn tables(labels: &Labels) -> impl Iterator<Item = &LabelTable> {
    [&labels.types, &labels.zones, &labels.machines]
        .into_iter()
        .flat_map(|tables| tables.values())
}

fn check_label_name(name: &str) -> Result<(), LabelProblem> {
    if BUILT_IN.iter().any(|(built_in, _)| *built_in == name) {
        return Err(LabelProblem::BuiltIn);
    }
    // A valid name is an expression that tests the trait as a flag.
    match name.parse() {
        Ok(Expr::Trait(parsed, Test::Flag, _)) if parsed == name => Ok(()),
        _ => Err(LabelProblem::Name),
    }
}

/// The sort of value that a test applies to; `None` for any.
fn expected_sort(test: &Test) -> Option<Sort> {
    match test {
        Test::Present => None,
        Test::Flag => Some(Sort::Flag),
        Test::Within(_) | Test::Compare(_, Operand::Word(_)) => Some(Sort::Word),
        Test::HasAny(_) | Test::HasAll(_) => Some(Sort::Words),
        Test::Compare(_, Operand::Number(number)) => Some(Sort::Number(number.unit.dimension)),
    }
}

/// Whether a test compares words by order. Words have no order.
fn orders_words(test: &Test) -> bool {
    matches!(
        test,
        Test::Compare(comparison, Operand::Word(_))
            if !matches!(comparison, Comparison::Equal | Comparison::Unequal)
    )
}
