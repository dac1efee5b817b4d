//! Reading expressions. The grammar is `grammar.pest`; this builds what it matched, within bounds.

use super::expr::{At, Comparison, Expr, Field, Operand, Test, Words};
use super::value::Quantity;
use pest::Parser;
use pest::error::{Error, ErrorVariant, LineColLocation};
use pest::iterators::Pair;
use std::collections::BTreeSet;
use std::str::FromStr;
use thiserror::Error;

/// Longest text of an expression, in bytes.
pub const TEXT_LIMIT: usize = 2_048;
/// Deepest nesting of parentheses and negations. It also bounds the stack, whoever wrote the text.
pub const DEPTH_LIMIT: usize = 24;
/// Most tests in an expression.
pub const TESTS_LIMIT: usize = 96;

/// The generated parser. Its rules are named as in the grammar.
#[allow(missing_docs)]
mod generated {
    #[derive(pest_derive::Parser)]
    #[grammar = "grammar.pest"]
    pub struct Grammar;
}
use generated::{Grammar, Rule};

/// Why a text is no expression.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("line {line}, column {column}: {what}")]
pub struct ParseError {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong, or what was expected there.
    pub what: String,
}

impl ParseError {
    /// An error at some place.
    pub fn at(at: At, what: impl Into<String>) -> ParseError {
        ParseError {
            line: at.line,
            column: at.column,
            what: what.into(),
        }
    }
}

/// How a rule of the grammar is called in what was expected.
fn called(rule: Rule) -> &'static str {
    match rule {
        Rule::EOI => "the end",
        Rule::and => "`and`",
        Rule::or => "`or`",
        Rule::not => "`not`",
        Rule::own => "`own`",
        Rule::all => "`all`",
        Rule::any => "`any`",
        Rule::open => "`(`",
        Rule::close => "`)`",
        Rule::in_word => "`in`",
        Rule::has_word => "`has`",
        Rule::holds_word | Rule::holds | Rule::holds_own => "`holds`",
        Rule::beside_word | Rule::beside => "`beside`",
        Rule::present_word | Rule::present => "`present`",
        Rule::operator => "a comparison",
        Rule::field => "`lane`, `crew`, `image`, `urgency` or `job`",
        Rule::word | Rule::bare | Rule::quoted => "a word",
        Rule::inner => "characters without control codes",
        Rule::words => "a word or {words}",
        Rule::quantity | Rule::number => "a number",
        Rule::unit => "a unit (MB, GB, TB, ms, s, min, h, MB/s, GB/s)",
        Rule::name | Rule::flag | Rule::compare | Rule::within | Rule::not_within => "a trait",
        Rule::has_any | Rule::has_all => "a trait",
        Rule::expression
        | Rule::either
        | Rule::both
        | Rule::unary
        | Rule::primary
        | Rule::group => "a condition",
        Rule::WHITESPACE => "space",
        _ => "something else",
    }
}

fn explained(error: Error<Rule>) -> ParseError {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(at) | LineColLocation::Span(at, _) => at,
    };
    let what = match error.variant {
        ErrorVariant::ParsingError { positives, .. } if !positives.is_empty() => {
            let names: BTreeSet<&str> = positives.into_iter().map(called).collect();
            format!(
                "expected {}",
                names.into_iter().collect::<Vec<_>>().join(", ")
            )
        }
        ErrorVariant::ParsingError { .. } => "not understood".to_owned(),
        ErrorVariant::CustomError { message } => message,
    };
    ParseError { line, column, what }
}

/// Refuses nesting that is too deep before the parser, which recurses, sees it.
fn check_depth(text: &str) -> Result<(), ParseError> {
    let (mut depth, mut quoted, mut escaped) = (0usize, false, false);
    let mut at = At { line: 1, column: 1 };
    for c in text.chars() {
        match c {
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '"' => quoted = !quoted,
            '(' if !quoted => depth += 1,
            ')' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEPTH_LIMIT {
            return Err(ParseError::at(
                at,
                format!("nested deeper than {DEPTH_LIMIT}"),
            ));
        }
        at = if c == '\n' {
            At {
                line: at.line + 1,
                column: 1,
            }
        } else {
            At {
                column: at.column + 1,
                ..at
            }
        };
    }
    Ok(())
}

fn place(pair: &Pair<'_, Rule>) -> At {
    let (line, column) = pair.line_col();
    At { line, column }
}

fn one_word(pair: Pair<'_, Rule>) -> String {
    let Some(inner) = pair.into_inner().next() else {
        return String::new();
    };
    if inner.as_rule() == Rule::bare {
        return inner.as_str().to_owned();
    }
    let text = inner.into_inner().next().map_or("", |p| p.as_str());
    let mut word = String::with_capacity(text.len());
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        word.extend(if c == '\\' { chars.next() } else { Some(c) });
    }
    word
}

fn words(pair: Pair<'_, Rule>) -> Words {
    pair.into_inner().map(one_word).collect()
}

fn quantity(pair: Pair<'_, Rule>) -> Result<Quantity, ParseError> {
    let at = place(&pair);
    let (mut number, mut unit) = ("", "");
    for p in pair.into_inner() {
        match p.as_rule() {
            Rule::number => number = p.as_str(),
            Rule::unit => unit = p.as_str(),
            _ => {}
        }
    }
    Quantity::read(number, unit).ok_or_else(|| ParseError::at(at, "the number is too large"))
}

struct Builder {
    tests: usize,
}

impl Builder {
    fn expr(&mut self, pair: Pair<'_, Rule>, depth: usize) -> Result<Expr, ParseError> {
        let at = place(&pair);
        if depth > DEPTH_LIMIT {
            return Err(ParseError::at(
                at,
                format!("nested deeper than {DEPTH_LIMIT}"),
            ));
        }
        match pair.as_rule() {
            Rule::either | Rule::both => {
                let either = pair.as_rule() == Rule::either;
                let parts = pair
                    .into_inner()
                    .filter(|p| !matches!(p.as_rule(), Rule::or | Rule::and));
                let mut all = parts
                    .map(|p| self.expr(p, depth))
                    .collect::<Result<Vec<_>, _>>()?;
                Ok(match (all.len(), either) {
                    (1, _) => all.remove(0),
                    (_, true) => Expr::Or(all),
                    _ => Expr::And(all),
                })
            }
            Rule::unary => {
                let mut nots = 0;
                for p in pair.into_inner() {
                    if p.as_rule() == Rule::not {
                        nots += 1;
                        continue;
                    }
                    let inner = self.expr(p, depth + nots)?;
                    return Ok((0..nots).fold(inner, |e, _| Expr::Not(Box::new(e))));
                }
                Err(ParseError::at(at, "expected a condition"))
            }
            Rule::group => {
                let inner = pair.into_inner().find(|p| p.as_rule() == Rule::either);
                inner.map_or_else(
                    || Err(ParseError::at(at, "expected a condition")),
                    |p| self.expr(p, depth + 1),
                )
            }
            _ => self.test(pair, at),
        }
    }

    fn test(&mut self, pair: Pair<'_, Rule>, at: At) -> Result<Expr, ParseError> {
        self.tests += 1;
        if self.tests > TESTS_LIMIT {
            return Err(ParseError::at(at, format!("more than {TESTS_LIMIT} tests")));
        }
        let rule = pair.as_rule();
        let (mut name, mut set, mut sign, mut operand, mut field) =
            (String::new(), Words::new(), None, None, None);
        for p in pair.into_inner() {
            match p.as_rule() {
                Rule::name => name = p.as_str().to_owned(),
                Rule::words => set = words(p),
                Rule::word => operand = Some(Operand::Word(one_word(p))),
                Rule::quantity => operand = Some(Operand::Number(quantity(p)?)),
                Rule::operator => {
                    sign = Comparison::ALL
                        .iter()
                        .find(|(_, sign)| *sign == p.as_str())
                        .map(|(c, _)| *c);
                }
                Rule::field => {
                    field = Field::ALL
                        .iter()
                        .find(|(_, name)| *name == p.as_str())
                        .map(|(f, _)| *f)
                }
                _ => {}
            }
        }
        let test = match rule {
            Rule::holds_own => return Ok(Expr::HoldsOwn),
            Rule::holds => return Ok(Expr::Holds(set)),
            Rule::beside => {
                let field =
                    field.ok_or_else(|| ParseError::at(at, "expected what to be beside"))?;
                return Ok(Expr::Colocated(field, set));
            }
            Rule::present => Test::Present,
            Rule::flag => Test::Flag,
            Rule::within => Test::Within(set),
            Rule::not_within => {
                return Ok(Expr::Not(Box::new(Expr::Trait(
                    name,
                    Test::Within(set),
                    at,
                ))));
            }
            Rule::has_all => Test::HasAll(set),
            Rule::has_any => Test::HasAny(set),
            _ => match (sign, operand) {
                (Some(sign), Some(operand)) => Test::Compare(sign, operand),
                _ => return Err(ParseError::at(at, "expected a comparison")),
            },
        };
        Ok(Expr::Trait(name, test, at))
    }
}

impl FromStr for Expr {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Expr, ParseError> {
        if text.len() > TEXT_LIMIT {
            let at = At { line: 1, column: 1 };
            return Err(ParseError::at(
                at,
                format!("longer than {TEXT_LIMIT} bytes"),
            ));
        }
        check_depth(text)?;
        let mut pairs = Grammar::parse(Rule::expression, text).map_err(explained)?;
        let whole = pairs
            .next()
            .and_then(|p| p.into_inner().find(|p| p.as_rule() == Rule::either));
        match whole {
            Some(p) => Builder { tests: 0 }.expr(p, 0),
            None => Err(ParseError::at(
                At { line: 1, column: 1 },
                "expected a condition",
            )),
        }
    }
}
