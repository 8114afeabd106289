/**
 * Measured series and the estimates derived from them.
 */

export interface Sample {
    readonly size: number;
    readonly value: number;
}

/** Values measured at several sizes, to be extrapolated to the target size. */
export interface Series {
    readonly name: string;
    readonly unit: string;
    /** Unit of `size`, as in "entry VMs". */
    readonly by: string;
    readonly samples: readonly Sample[];
    /** Size to extrapolate to. */
    readonly targetSize: number;
}

/** Straight line fitted to samples. */
export interface Fit {
    readonly intercept: number;
    readonly slope: number;
}

export interface Estimate extends Fit {
    readonly atTarget: number;
    /** Target size divided by the largest measured size. */
    readonly reach: number;
    /** Largest vertical distance of a sample from the line, as a share of the largest sample. */
    readonly worstResidual: number;
}

/** Single value that is not extrapolated. */
export interface Figure {
    readonly name: string;
    readonly unit: string;
    readonly value: number;
}

/** Result of one part of the capacity command. */
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
