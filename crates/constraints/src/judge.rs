//! Judging expressions: once for a class of equal machines, and for the rest machine by machine.

use super::expr::{Comparison, Expr, Field, Operand, Test, Words};
use super::value::Value;
use std::collections::BTreeMap;

/// What a machine is, by trait.
pub type Traits = BTreeMap<String, Value>;

/// What is on a machine now, for the job that is to be placed.
pub trait Now {
    /// Whether it has the job's own image, or is fetching it.
    fn holds_own(&self) -> bool;
    /// Whether it has one of these images, or is fetching it.
    fn holds(&self, images: &Words) -> bool;
    /// Whether a task of another job of this kind is booked there.
    fn beside(&self, field: Field, words: &Words) -> bool;
}

/// A machine that has just come up.
#[derive(Clone, Copy, Debug)]
pub struct Empty;

impl Now for Empty {
    fn holds_own(&self) -> bool {
        false
    }
    fn holds(&self, _: &Words) -> bool {
        false
    }
    fn beside(&self, _: Field, _: &Words) -> bool {
        false
    }
}

/// What a class of machines has to say to an expression.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Judged {
    /// It holds on all of them.
    Yes,
    /// It holds on none.
    No,
    /// It depends on what is on each now: this is left to be judged.
    Open(Expr),
}

impl Judged {
    /// Whether it holds on a machine of the class.
    pub fn holds(&self, now: &dyn Now) -> bool {
        match self {
            Judged::Yes => true,
            Judged::No => false,
            Judged::Open(e) => e.holds_now(now),
        }
    }
}

impl From<bool> for Judged {
    fn from(holds: bool) -> Judged {
        if holds { Judged::Yes } else { Judged::No }
    }
}

fn compared(c: Comparison, value: &Value, operand: &Operand) -> bool {
    match (value, operand) {
        (Value::Word(w), Operand::Word(o)) => match c {
            Comparison::Equal => w == o,
            Comparison::Unequal => w != o,
            _ => false,
        },
        (Value::Number(n), Operand::Number(o)) if n.unit.dimension == o.unit.dimension => {
            let (n, o) = (n.millionths, o.millionths);
            match c {
                Comparison::Equal => n == o,
                Comparison::Unequal => n != o,
                Comparison::Less => n < o,
                Comparison::AtMost => n <= o,
                Comparison::More => n > o,
                Comparison::AtLeast => n >= o,
            }
        }
        _ => false,
    }
}

fn tested(value: Option<&Value>, test: &Test) -> bool {
    match (value, test) {
        // A trait that is not there meets no test, not even that it is unlike something.
        (None, _) => false,
        (Some(_), Test::Present) => true,
        (Some(Value::Flag(set)), Test::Flag) => *set,
        (Some(value), Test::Compare(c, operand)) => compared(*c, value, operand),
        (Some(Value::Word(w)), Test::Within(words)) => words.contains(w),
        (Some(Value::Words(set)), Test::HasAny(words)) => !set.is_disjoint(words),
        (Some(Value::Words(set)), Test::HasAll(words)) => words.is_subset(set),
        _ => false,
    }
}

impl Expr {
    /// Whether it holds on a machine.
    pub fn holds(&self, traits: &Traits, now: &dyn Now) -> bool {
        match self {
            Expr::Or(all) => all.iter().any(|e| e.holds(traits, now)),
            Expr::And(all) => all.iter().all(|e| e.holds(traits, now)),
            Expr::Not(e) => !e.holds(traits, now),
            Expr::Trait(name, test, _) => tested(traits.get(name), test),
            Expr::HoldsOwn => now.holds_own(),
            Expr::Holds(images) => now.holds(images),
            Expr::Colocated(field, words) => now.beside(*field, words),
        }
    }

    /// The same for what is left once a class was judged: it asks for no traits any more.
    fn holds_now(&self, now: &dyn Now) -> bool {
        static NONE: Traits = Traits::new();
        self.holds(&NONE, now)
    }

    /// What it comes to on machines with these traits, whatever is on them.
    pub fn reduce(&self, traits: &Traits) -> Judged {
        match self {
            Expr::Or(all) => joined(all, traits, true),
            Expr::And(all) => joined(all, traits, false),
            Expr::Not(e) => match e.reduce(traits) {
                Judged::Yes => Judged::No,
                Judged::No => Judged::Yes,
                Judged::Open(rest) => Judged::Open(Expr::Not(Box::new(rest))),
            },
            Expr::Trait(name, test, _) => tested(traits.get(name), test).into(),
            now => Judged::Open(now.clone()),
        }
    }
}

/// Alternatives, or parts that must all hold: `decides` is the judgement that settles the whole.
fn joined(all: &[Expr], traits: &Traits, decides: bool) -> Judged {
    let mut left = Vec::new();
    for e in all {
        match (e.reduce(traits), decides) {
            (Judged::Yes, true) => return Judged::Yes,
            (Judged::No, false) => return Judged::No,
            (Judged::Open(rest), _) => left.push(rest),
            _ => {}
        }
    }
    match (left.len(), decides) {
        (0, _) => (!decides).into(),
        (1, _) => Judged::Open(left.remove(0)),
        (_, true) => Judged::Open(Expr::Or(left)),
        _ => Judged::Open(Expr::And(left)),
    }
}
