//! Parsing of expressions. The grammar is in `grammar.pest`; this module builds expressions from its matches and
//! enforces limits.

use super::expr::{Comparison, Expr, Field, Operand, Position, Test, Words};
use super::value::Quantity;
use pest::Parser;
use pest::error::{Error, ErrorVariant, LineColLocation};
use pest::iterators::Pair;
use std::collections::BTreeSet;
use std::str::FromStr;
use thiserror::Error;

/// Largest size of an expression's text, in bytes.
pub const TEXT_LIMIT: usize = 2_048;
/// Largest nesting depth of parentheses and negations. It bounds the stack that parsing uses.
pub const DEPTH_LIMIT: usize = 24;
/// Largest number of tests in an expression.
pub const TESTS_LIMIT: usize = 96;

/// The generated parser. The variants of `Rule` are named as in the grammar.
#[allow(missing_docs)]
mod generated {
    #[derive(pest_derive::Parser)]
    #[grammar = "grammar.pest"]
    pub struct Grammar;
}
use generated::{Grammar, Rule};

/// Why a text is not an expression, and where.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("line {line}, column {column}: {message}")]
pub struct ParseError {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong, or what was expected there.
    pub message: String,
}

impl ParseError {
    /// An error at a position.
    pub fn at(at: Position, message: impl Into<String>) -> ParseError {
        ParseError {
            line: at.line,
            column: at.column,
            message: message.into(),
        }
    }

    fn too_deep(at: Position) -> ParseError {
        ParseError::at(at, format!("nested deeper than {DEPTH_LIMIT}"))
    }

    fn no_condition(at: Position) -> ParseError {
        ParseError::at(at, "expected a condition")
    }
}

/// The name of a rule of the grammar in error messages.
fn rule_name(rule: Rule) -> &'static str {
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
        | Rule::disjunction
        | Rule::conjunction
        | Rule::unary
        | Rule::primary
        | Rule::group => "a condition",
        Rule::WHITESPACE => "space",
        _ => "something else",
    }
}

fn to_parse_error(error: Error<Rule>) -> ParseError {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(at) | LineColLocation::Span(at, _) => at,
    };
    let message = match error.variant {
        ErrorVariant::ParsingError { positives, .. } if !positives.is_empty() => {
            let names: BTreeSet<&str> = positives.into_iter().map(rule_name).collect();
            format!(
                "expected {}",
                names.into_iter().collect::<Vec<_>>().join(", ")
            )
        }
        ErrorVariant::ParsingError { .. } => "not understood".to_owned(),
        ErrorVariant::CustomError { message } => message,
    };
    ParseError {
        line,
        column,
        message,
    }
}

/// Rejects nesting that is too deep before the text is parsed, since the parser is recursive.
fn check_depth(text: &str) -> Result<(), ParseError> {
    let (mut depth, mut quoted, mut escaped) = (0usize, false, false);
    let mut at = Position::START;
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
            return Err(ParseError::too_deep(at));
        }
        at = at.after(c);
    }
    Ok(())
}

fn position(pair: &Pair<'_, Rule>) -> Position {
    let (line, column) = pair.line_col();
    Position { line, column }
}

/// The word that a pair matched, without quotes and escapes.
fn word(pair: Pair<'_, Rule>) -> String {
    let Some(inner) = pair.into_inner().next() else {
        return String::new();
    };
    if inner.as_rule() == Rule::bare {
        return inner.as_str().to_owned();
    }
    let quoted = inner.into_inner().next();
    unescape(quoted.map_or("", |text| text.as_str()))
}

fn unescape(text: &str) -> String {
    let mut unescaped = String::with_capacity(text.len());
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        unescaped.extend(if c == '\\' { chars.next() } else { Some(c) });
    }
    unescaped
}

fn words(pair: Pair<'_, Rule>) -> Words {
    pair.into_inner().map(word).collect()
}

fn quantity(pair: Pair<'_, Rule>) -> Result<Quantity, ParseError> {
    let at = position(&pair);
    let (mut number, mut unit) = ("", "");
    for part in pair.into_inner() {
        match part.as_rule() {
            Rule::number => number = part.as_str(),
            Rule::unit => unit = part.as_str(),
            _ => {}
        }
    }
    Quantity::parse(number, unit).ok_or_else(|| ParseError::at(at, "the number is too large"))
}

/// Builds an expression from the matches of the grammar and enforces the limits.
#[derive(Default)]
struct Builder {
    tests: usize,
}

impl Builder {
    fn expr(&mut self, pair: Pair<'_, Rule>, depth: usize) -> Result<Expr, ParseError> {
        let at = position(&pair);
        if depth > DEPTH_LIMIT {
            return Err(ParseError::too_deep(at));
        }
        match pair.as_rule() {
            Rule::disjunction => Ok(joined(self.operands(pair, depth)?, Expr::Or)),
            Rule::conjunction => Ok(joined(self.operands(pair, depth)?, Expr::And)),
            Rule::unary => self.unary(pair, at, depth),
            Rule::group => {
                let inner = pair
                    .into_inner()
                    .find(|part| part.as_rule() == Rule::disjunction)
                    .ok_or_else(|| ParseError::no_condition(at))?;
                self.expr(inner, depth + 1)
            }
            _ => self.test(pair, at),
        }
    }

    fn operands(&mut self, pair: Pair<'_, Rule>, depth: usize) -> Result<Vec<Expr>, ParseError> {
        pair.into_inner()
            .filter(|part| !matches!(part.as_rule(), Rule::or | Rule::and))
            .map(|part| self.expr(part, depth))
            .collect()
    }

    /// A primary expression with any number of negations before it.
    fn unary(
        &mut self,
        pair: Pair<'_, Rule>,
        at: Position,
        depth: usize,
    ) -> Result<Expr, ParseError> {
        let mut negations = 0;
        for part in pair.into_inner() {
            if part.as_rule() == Rule::not {
                negations += 1;
                continue;
            }
            let inner = self.expr(part, depth + negations)?;
            return Ok((0..negations).fold(inner, |expr, _| Expr::Not(Box::new(expr))));
        }
        Err(ParseError::no_condition(at))
    }

    fn test(&mut self, pair: Pair<'_, Rule>, at: Position) -> Result<Expr, ParseError> {
        self.tests += 1;
        if self.tests > TESTS_LIMIT {
            return Err(ParseError::at(at, format!("more than {TESTS_LIMIT} tests")));
        }
        let rule = pair.as_rule();
        TestParts::of(pair)?.into_expr(rule, at)
    }
}

/// Joins operands; a single operand is returned as it is.
fn joined(mut operands: Vec<Expr>, join: impl Fn(Vec<Expr>) -> Expr) -> Expr {
    if operands.len() == 1 {
        operands.remove(0)
    } else {
        join(operands)
    }
}

/// The parts of a test, independent of the order in which the grammar matched them.
#[derive(Default)]
struct TestParts {
    name: String,
    words: Words,
    comparison: Option<Comparison>,
    operand: Option<Operand>,
    field: Option<Field>,
}

impl TestParts {
    fn of(pair: Pair<'_, Rule>) -> Result<TestParts, ParseError> {
        let mut parts = TestParts::default();
        for part in pair.into_inner() {
            match part.as_rule() {
                Rule::name => parts.name = part.as_str().to_owned(),
                Rule::words => parts.words = words(part),
                Rule::word => parts.operand = Some(Operand::Word(word(part))),
                Rule::quantity => parts.operand = Some(Operand::Number(quantity(part)?)),
                Rule::operator => parts.comparison = Comparison::from_sign(part.as_str()),
                Rule::field => parts.field = Field::from_name(part.as_str()),
                _ => {}
            }
        }
        Ok(parts)
    }

    fn into_expr(self, rule: Rule, at: Position) -> Result<Expr, ParseError> {
        let test = match rule {
            Rule::holds_own => return Ok(Expr::HasOwnImage),
            Rule::holds => return Ok(Expr::HasAnyImage(self.words)),
            Rule::beside => {
                let field = self
                    .field
                    .ok_or_else(|| ParseError::at(at, "expected what to be beside"))?;
                return Ok(Expr::Colocated(field, self.words));
            }
            Rule::not_within => {
                let within = Expr::Trait(self.name, Test::Within(self.words), at);
                return Ok(Expr::Not(Box::new(within)));
            }
            Rule::present => Test::Present,
            Rule::flag => Test::Flag,
            Rule::within => Test::Within(self.words),
            Rule::has_all => Test::HasAll(self.words),
            Rule::has_any => Test::HasAny(self.words),
            _ => match (self.comparison, self.operand) {
                (Some(comparison), Some(operand)) => Test::Compare(comparison, operand),
                _ => return Err(ParseError::at(at, "expected a comparison")),
            },
        };
        Ok(Expr::Trait(self.name, test, at))
    }
}

impl FromStr for Expr {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Expr, ParseError> {
        if text.len() > TEXT_LIMIT {
            let message = format!("longer than {TEXT_LIMIT} bytes");
            return Err(ParseError::at(Position::START, message));
        }
        check_depth(text)?;
        let mut pairs = Grammar::parse(Rule::expression, text).map_err(to_parse_error)?;
        let root = pairs
            .next()
            .and_then(|pair| {
                pair.into_inner()
                    .find(|part| part.as_rule() == Rule::disjunction)
            })
            .ok_or_else(|| ParseError::no_condition(Position::START))?;
        Builder::default().expr(root, 0)
    }
}
