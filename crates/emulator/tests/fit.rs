//! Least squares fits.

use cometlead_emulator::fit::{Undetermined, fit};

#[test]
fn exact_linear_data_yields_its_factors() {
    let rows = [
        [1.0, 300.0, 20.0],
        [1.0, 900.0, 20.0],
        [1.0, 900.0, 200.0],
        [1.0, 5_400.0, 50.0],
    ];
    let inputs: Vec<Vec<f64>> = rows.iter().map(|r| r.to_vec()).collect();
    let outputs: Vec<f64> = rows
        .iter()
        .map(|r| 0.5 + 0.001 * r[1] + 0.02 * r[2])
        .collect();
    let found = fit(&inputs, &outputs).unwrap();
    for (factor, expected) in found.factors.iter().zip([0.5, 0.001, 0.02]) {
        assert!((factor - expected).abs() < 1e-6, "{found:?}");
    }
    assert!(found.error < 1e-6, "{found:?}");
}

#[test]
fn error_is_the_root_mean_square_of_the_residuals() {
    let inputs: Vec<Vec<f64>> = (0..4).map(|i| vec![1.0, f64::from(i)]).collect();
    let found = fit(&inputs, &[0.0, 2.0, 0.0, 2.0]).unwrap();
    assert!((found.error - 0.8_f64.sqrt()).abs() < 1e-6, "{found:?}");
}

#[test]
fn rows_that_do_not_determine_the_factors_are_refused() {
    let alike = vec![vec![1.0, 2.0], vec![1.0, 2.0], vec![1.0, 2.0]];
    assert_eq!(fit(&alike, &[1.0, 2.0, 3.0]), Err(Undetermined));
    assert_eq!(fit(&alike[..1], &[1.0]), Err(Undetermined));
    assert_eq!(fit(&[], &[]), Err(Undetermined));
}
