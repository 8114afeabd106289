/**
 * Measured series and what is derived from them.
 */

export interface Sample {
    readonly size: number;
    readonly value: number;
}

/** A figure measured at several sizes, to be extrapolated to the target size. */
export interface Series {
    readonly name: string;
    readonly unit: string;
    /** What `size` counts, as in "entry VMs". */
    readonly by: string;
    readonly samples: readonly Sample[];
    /** Size to extrapolate to. */
    readonly targetSize: number;
}

/** A straight line through samples. */
export interface Fit {
    readonly intercept: number;
    readonly slope: number;
}

export interface Estimate extends Fit {
    readonly atTarget: number;
    /** The target size over the largest measured one. */
    readonly reach: number;
    /** Largest distance of a sample from the line, as a share of the largest sample. */
    readonly worstResidual: number;
}

/** A single figure that is not extrapolated. */
export interface Figure {
    readonly name: string;
    readonly unit: string;
    readonly value: number;
}

/** What one part of the command measured. */
export interface Measurement {
    readonly series: readonly Series[];
    readonly figures: readonly Figure[];
}

/** Size of a configuration. */
export interface ConfigurationSize {
    readonly targets: number;
    readonly services: number;
    readonly zones: number;
}
