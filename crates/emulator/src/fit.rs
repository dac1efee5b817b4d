//! Least squares fits, for example of resource usage against the numbers of workers, running tasks and starts.

use serde::{Deserialize, Serialize};

/// A column whose pivot is smaller than this fraction of the largest value is treated as linearly dependent on the others.
const MIN_PIVOT_FRACTION: f64 = 1e-9;

/// The factors are not determined: there are too few rows, or they do not differ enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too few runs, or they do not differ enough")]
pub struct Undetermined;

/// A fitted linear function.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// One factor for each column of the inputs, in their order.
    pub factors: Vec<f64>,
    /// Root mean square error.
    pub error: f64,
}

/// Fits factors to rows of `inputs` and their `outputs`, so that the sum of the squared errors is smallest.
///
/// # Errors
///
/// [`Undetermined`] if the rows do not determine all factors.
pub fn fit(inputs: &[Vec<f64>], outputs: &[f64]) -> Result<Fit, Undetermined> {
    let width = inputs.first().map_or(0, Vec::len);
    if width == 0 || inputs.len() < width || inputs.len() != outputs.len() {
        return Err(Undetermined);
    }
    // Columns of very different magnitude are scaled to a largest value of 1.
    let scale: Vec<f64> = (0..width)
        .map(|c| inputs.iter().map(|r| r[c].abs()).fold(0.0, f64::max))
        .collect();
    if scale.contains(&0.0) {
        return Err(Undetermined);
    }
    let rows: Vec<Vec<f64>> = inputs
        .iter()
        .map(|r| {
            r.iter()
                .zip(&scale)
                .map(|(value, scale)| value / scale)
                .collect()
        })
        .collect();
    let mut equations = normal_equations(&rows, outputs);
    let solved = solve(&mut equations)?;
    let factors: Vec<f64> = solved
        .iter()
        .zip(&scale)
        .map(|(factor, scale)| factor / scale)
        .collect();
    let squares = inputs
        .iter()
        .zip(outputs)
        .map(|(row, output)| (predict(&factors, row) - output).powi(2));
    let error = (squares.sum::<f64>() / outputs.len() as f64).sqrt();
    Ok(Fit { factors, error })
}

/// Computes the output for a row of inputs.
pub fn predict(factors: &[f64], row: &[f64]) -> f64 {
    factors
        .iter()
        .zip(row)
        .map(|(factor, value)| factor * value)
        .sum()
}

/// The normal equations. The row of a factor has the sums of its products with all factors, then that with the outputs.
fn normal_equations(rows: &[Vec<f64>], outputs: &[f64]) -> Vec<Vec<f64>> {
    let width = rows[0].len();
    let product = |i: usize, j: usize| rows.iter().map(|r| r[i] * r[j]).sum::<f64>();
    let with_output = |i: usize| rows.iter().zip(outputs).map(|(r, o)| r[i] * o).sum::<f64>();
    (0..width)
        .map(|i| {
            (0..width)
                .map(|j| product(i, j))
                .chain([with_output(i)])
                .collect()
        })
        .collect()
}

/// Solves the equations by Gaussian elimination with partial pivoting.
fn solve(equations: &mut [Vec<f64>]) -> Result<Vec<f64>, Undetermined> {
    let width = equations.len();
    let largest = equations
        .iter()
        .flatten()
        .fold(0.0_f64, |most, v| most.max(v.abs()));
    for column in 0..width {
        let by_size = |a: &usize, b: &usize| {
            equations[*a][column]
                .abs()
                .total_cmp(&equations[*b][column].abs())
        };
        let pivot = (column..width).max_by(by_size).ok_or(Undetermined)?;
        equations.swap(column, pivot);
        if equations[column][column].abs() <= largest * MIN_PIVOT_FRACTION {
            return Err(Undetermined);
        }
        for row in 0..width {
            if row != column {
                let factor = equations[row][column] / equations[column][column];
                let pivot_row = equations[column].clone();
                for (value, above) in equations[row].iter_mut().zip(pivot_row).skip(column) {
                    *value -= factor * above;
                }
            }
        }
    }
    Ok((0..width)
        .map(|i| equations[i][width] / equations[i][i])
        .collect())
}
