/**
 * Events and lifetimes.
 */
import * as types from "./Types.js";

/** An event together with the function that fires it. */
export interface Emitter<T> extends types.Disposable {
    readonly event: types.Event<T>;
    fire(value: T): void;
}

/**
 * Creates an event source.
 *
 * @returns the emitter; after `dispose` it fires nothing
 */
export const createEmitter = <T>(): Emitter<T> => {
    const listeners = new Set<(value: T) => void>();
    return {
        event: listener => {
            listeners.add(listener);
            return toDisposable(() => listeners.delete(listener));
        },
        fire: value => {
            for (const listener of [...listeners]) {
                listener(value);
            }
        },
        dispose: () => listeners.clear(),
    };
};

/**
 * Wraps an action as a lifetime that ends once.
 *
 * @param action - runs at the first call of `dispose`
 * @returns the lifetime
 */
export const toDisposable = (action: () => void): types.Disposable => {
    let disposed = false;
    return {
        dispose: () => {
            if (disposed) {
                return;
            }
            disposed = true;
            action();
        },
    };
};

/** Ends several lifetimes together. */
export interface DisposableStore extends types.Disposable {
    add<T extends types.Disposable>(item: T): T;
}

/**
 * Creates a store of lifetimes, which end in the reverse of the order in which they were added.
 *
 * @returns the store
 */
export const createDisposableStore = (): DisposableStore => {
    const items: types.Disposable[] = [];
    return {
        add: item => {
            items.push(item);
            return item;
        },
        dispose: () => {
            for (const item of items.splice(0).reverse()) {
                item.dispose();
            }
        },
    };
};
