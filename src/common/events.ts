/**
 * Event emitters and disposables.
 */
import * as types from "./Types.js";

/** An event together with the function that fires it. */
export interface Emitter<T> extends types.Disposable {
    readonly event: types.Event<T>;
    fire(value: T): void;
}

/**
 * Creates an event emitter.
 *
 * @returns the emitter; `dispose` removes all listeners
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
 * Creates a disposable that runs an action once.
 *
 * @param action - runs on the first call of `dispose`
 * @returns the disposable
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

/** A collection of disposables that are disposed together. */
export interface DisposableStore extends types.Disposable {
    add<T extends types.Disposable>(item: T): T;
}

/**
 * Creates a store that disposes its items in reverse order of addition.
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
