/** Above this size the pool is cleared; values that are shared already stay shared. */
const MAX_INTERNED_COUNT = 4_096;

/** Interns values: records that hold equal values share one copy, to save memory. Values are equal if their JSON is. */
export class SharedValues {
    private readonly values = new Map<string, unknown>();

    /** Returns the first interned value that equals this one. */
    intern<Value>(value: Value): Value {
        if (this.values.size > MAX_INTERNED_COUNT) this.values.clear();
        const json = JSON.stringify(value);
        if (!this.values.has(json)) this.values.set(json, value);
        return this.values.get(json) as Value;
    }
}

/** Copies a string: one decoded from a log entry may be a slice that keeps the whole entry in memory. */
export function copyString<Text extends string>(value: Text): Text {
    return Buffer.from(value).toString() as Text;
}
