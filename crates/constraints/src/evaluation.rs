//! Evaluation of expressions: partially for a class of equal machines, and the rest for each machine.

use super::expr::{Comparison, Expr, Field, Operand, Test, Words};
use super::value::Value;
use std::collections::BTreeMap;

/// Traits of a machine, by name.
pub type Traits = BTreeMap<String, Value>;

/// The current state of a machine, as seen by the rules of one job.
pub trait MachineState {
    /// Whether the machine has the job's own image in its cache or downloads it.
    fn has_own_image(&self) -> bool;
    /// Whether the machine has one of these images in its cache or downloads it.
    fn has_any_image(&self, images: &Words) -> bool;
    /// Whether a task of another job, whose field has one of these words, is assigned to the machine.
    fn has_colocated(&self, field: Field, words: &Words) -> bool;
}

/// A machine without images and tasks, such as one that has just booted.
#[derive(Clone, Copy, Debug)]
pub struct EmptyMachine;

impl MachineState for EmptyMachine {
    fn has_own_image(&self) -> bool {
        false
    }

    fn has_any_image(&self, _: &Words) -> bool {
        false
    }

    fn has_colocated(&self, _: Field, _: &Words) -> bool {
        false
    }
}

/// Result of an expression for a class of machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Evaluation {
    /// It holds on all machines of the class.
    Always,
    /// It holds on no machine of the class.
    Never,
    /// It depends on the current state of each machine. This expression, which tests no traits, remains to be
    /// evaluated.
    Depends(Expr),
}

impl Evaluation {
    /// Whether the expression holds on a machine of the class in this state.
    pub fn holds(&self, state: &dyn MachineState) -> bool {
        match self {
            Evaluation::Always => true,
            Evaluation::Never => false,
            Evaluation::Depends(rest) => rest.holds_in(state),
        }
    }
}

impl From<bool> for Evaluation {
    fn from(holds: bool) -> Evaluation {
        if holds {
            Evaluation::Always
        } else {
            Evaluation::Never
        }
    }
}

/// Whether a comparison holds. No comparison holds between values of different sorts or dimensions.
fn compare(comparison: Comparison, value: &Value, operand: &Operand) -> bool {
    match (value, operand) {
        (Value::Word(word), Operand::Word(expected)) => match comparison {
            Comparison::Equal => word == expected,
            Comparison::Unequal => word != expected,
            _ => false,
        },
        (Value::Number(number), Operand::Number(bound))
            if number.unit.dimension == bound.unit.dimension =>
        {
            comparison.holds(number.millionths, bound.millionths)
        }
        _ => false,
    }
}

impl Comparison {
    fn holds(self, number: u128, bound: u128) -> bool {
        match self {
            Comparison::Equal => number == bound,
            Comparison::Unequal => number != bound,
            Comparison::Less => number < bound,
            Comparison::AtMost => number <= bound,
            Comparison::More => number > bound,
            Comparison::AtLeast => number >= bound,
        }
    }
}

impl Test {
    /// Whether the value of a trait meets the test. A missing trait meets no test, not even `!=`.
    fn holds(&self, value: Option<&Value>) -> bool {
        let Some(value) = value else {
            return false;
        };
        match (value, self) {
            (_, Test::Present) => true,
            (Value::Flag(set), Test::Flag) => *set,
            (value, Test::Compare(comparison, operand)) => compare(*comparison, value, operand),
            (Value::Word(word), Test::Within(words)) => words.contains(word),
            (Value::Words(set), Test::HasAny(words)) => !set.is_disjoint(words),
            (Value::Words(set), Test::HasAll(words)) => words.is_subset(set),
            _ => false,
        }
    }
}

/// The operator that joins operands.
#[derive(Clone, Copy)]
enum Connective {
    And,
    Or,
}

impl Expr {
    /// Whether the expression holds on a machine with these traits and this state.
    pub fn holds(&self, traits: &Traits, state: &dyn MachineState) -> bool {
        match self {
            Expr::Or(operands) => operands.iter().any(|operand| operand.holds(traits, state)),
            Expr::And(operands) => operands.iter().all(|operand| operand.holds(traits, state)),
            Expr::Not(negated) => !negated.holds(traits, state),
            Expr::Trait(name, test, _) => test.holds(traits.get(name)),
            Expr::HasOwnImage => state.has_own_image(),
            Expr::HasAnyImage(images) => state.has_any_image(images),
            Expr::Colocated(field, words) => state.has_colocated(*field, words),
        }
    }

    /// Whether the expression, which must not test traits, holds on a machine in this state.
    fn holds_in(&self, state: &dyn MachineState) -> bool {
        static NO_TRAITS: Traits = Traits::new();
        self.holds(&NO_TRAITS, state)
    }

    /// Evaluates the expression for all machines with these traits, as far as it does not depend on their state.
    pub fn reduce(&self, traits: &Traits) -> Evaluation {
        match self {
            Expr::Or(operands) => reduce_operands(operands, traits, Connective::Or),
            Expr::And(operands) => reduce_operands(operands, traits, Connective::And),
            Expr::Not(negated) => match negated.reduce(traits) {
                Evaluation::Always => Evaluation::Never,
                Evaluation::Never => Evaluation::Always,
                Evaluation::Depends(rest) => Evaluation::Depends(Expr::Not(Box::new(rest))),
            },
            Expr::Trait(name, test, _) => test.holds(traits.get(name)).into(),
            test_of_state => Evaluation::Depends(test_of_state.clone()),
        }
    }
}

/// Evaluates operands until one decides the result. Operands that depend on the state remain.
fn reduce_operands(operands: &[Expr], traits: &Traits, connective: Connective) -> Evaluation {
    let mut remaining = Vec::new();
    for operand in operands {
        match (operand.reduce(traits), connective) {
            (Evaluation::Always, Connective::Or) => return Evaluation::Always,
            (Evaluation::Never, Connective::And) => return Evaluation::Never,
            (Evaluation::Depends(operand), _) => remaining.push(operand),
            _ => {}
        }
    }
    match (remaining.len(), connective) {
        (0, Connective::And) => Evaluation::Always,
        (0, Connective::Or) => Evaluation::Never,
        (1, _) => Evaluation::Depends(remaining.remove(0)),
        (_, Connective::And) => Evaluation::Depends(Expr::And(remaining)),
        (_, Connective::Or) => Evaluation::Depends(Expr::Or(remaining)),
    }
}
