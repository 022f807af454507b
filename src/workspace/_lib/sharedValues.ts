/** Beyond this many the table starts anew; what is shared already stays so. */
const MOST_SHARED = 4_096;

/** Keeps one copy of equal values that come with many records. */
export class SharedValues {
    private readonly values = new Map<string, unknown>();

    /** The first value given that was equal to this one. */
    share<Value>(value: Value): Value {
        if (this.values.size > MOST_SHARED) this.values.clear();
        const text = JSON.stringify(value);
        if (!this.values.has(text)) this.values.set(text, value);
        return this.values.get(text) as Value;
    }
}

/** A text read from a log entry may be a slice that keeps the whole entry in memory; a copy does not. */
export function copyText<Text extends string>(text: Text): Text {
    return Buffer.from(text).toString() as Text;
}
