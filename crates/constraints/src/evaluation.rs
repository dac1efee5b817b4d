//! Evaluation of expressions: once for a class of equal machines, and what is left for each machine.

use super::expr::{Comparison, Expr, Field, Operand, Test, Words};
use super::value::Value;
use std::collections::BTreeMap;

/// Traits of a machine, by name.
pub type Traits = BTreeMap<String, Value>;

/// Current state of a machine, as the rules of one job see it.
pub trait MachineState {
    /// Whether it holds or fetches the job's own image.
    fn has_own_image(&self) -> bool;
    /// Whether it holds or fetches one of these images.
    fn has_any_image(&self, images: &Words) -> bool;
    /// Whether a task of another job with one of these words in the field is assigned to it.
    fn has_colocated(&self, field: Field, words: &Words) -> bool;
}

/// A machine without images and tasks, as it is when it has just come up.
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
    /// It holds on all of them.
    Always,
    /// It holds on none.
    Never,
    /// It depends on the current state of each machine: this expression, which tests no traits, is left.
    Depends(Expr),
}

impl Evaluation {
    /// Whether it holds on a machine of the class in its current state.
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

/// Whether a comparison holds. Values of different sorts or dimensions meet no comparison.
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
    /// Whether the value of a trait meets the test. A missing trait meets none, not even `!=`.
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

/// How operands are joined.
#[derive(Clone, Copy)]
enum Junction {
    And,
    Or,
}

impl Expr {
    /// Whether it holds on a machine.
    pub fn holds(&self, traits: &Traits, state: &dyn MachineState) -> bool {
        match self {
            Expr::Or(operands) => operands.iter().any(|operand| operand.holds(traits, state)),
            Expr::And(operands) => operands.iter().all(|operand| operand.holds(traits, state)),
            Expr::Not(negated) => !negated.holds(traits, state),
            Expr::Trait(name, test, _) => test.holds(traits.get(name)),
            Expr::HoldsOwn => state.has_own_image(),
            Expr::Holds(images) => state.has_any_image(images),
            Expr::Colocated(field, words) => state.has_colocated(*field, words),
        }
    }

    /// Whether an expression without tests of traits holds on a machine.
    fn holds_in(&self, state: &dyn MachineState) -> bool {
        static NO_TRAITS: Traits = Traits::new();
        self.holds(&NO_TRAITS, state)
    }

    /// Evaluates it for machines with these traits, whatever their state.
    pub fn reduce(&self, traits: &Traits) -> Evaluation {
        match self {
            Expr::Or(operands) => reduce_operands(operands, traits, Junction::Or),
            Expr::And(operands) => reduce_operands(operands, traits, Junction::And),
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

/// Evaluates operands until one decides the whole; what depends on the state is left.
fn reduce_operands(operands: &[Expr], traits: &Traits, junction: Junction) -> Evaluation {
    let mut left = Vec::new();
    for operand in operands {
        match (operand.reduce(traits), junction) {
            (Evaluation::Always, Junction::Or) => return Evaluation::Always,
            (Evaluation::Never, Junction::And) => return Evaluation::Never,
            (Evaluation::Depends(rest), _) => left.push(rest),
            _ => {}
        }
    }
    match (left.len(), junction) {
        (0, Junction::And) => Evaluation::Always,
        (0, Junction::Or) => Evaluation::Never,
        (1, _) => Evaluation::Depends(left.remove(0)),
        (_, Junction::And) => Evaluation::Depends(Expr::And(left)),
        (_, Junction::Or) => Evaluation::Depends(Expr::Or(left)),
    }
}
