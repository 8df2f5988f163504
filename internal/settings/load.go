package settings

import (
	"errors"
	"os"
	"sort"
	"strings"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
	"github.com/magpielug/magpielug/internal/resultcode"
	yamlv3 "go.yaml.in/yaml/v3"
)

const keyDelimiter = "."

// Override sets one key from a flag, over the file. Value is written as in the
// file.
type Override struct {
	Key   string
	Value string
	// OnlyIfMissing leaves a key alone that the file or an earlier override
	// sets.
	OnlyIfMissing bool
}

// Load reads the file at path (none where path is empty), puts overrides over
// it and checks every key. Every error is a *resultcode.Error with code
// InvalidSettings whose one line names the first wrong key.
func Load(path string, overrides []Override) (Settings, error) {
	var content []byte
	if path != "" {
		read, err := os.ReadFile(path)
		if err != nil {
			return Settings{}, invalid("settings file: %v", err)
		}
		content = read
	}
	return Parse(content, overrides)
}

// Parse is Load with the file's content.
func Parse(content []byte, overrides []Override) (Settings, error) {
	tree, err := readTree(content, "YAML", yaml.Parser(), overrides)
	if err != nil {
		return Settings{}, err
	}
	loaded, err := decode(tree, Defaults())
	if err != nil {
		return Settings{}, err
	}
	return loaded, check(loaded)
}

// readTree parses a file's content, whose format has a name and a parser, and puts overrides
// over it.
func readTree(content []byte, format string, parser koanf.Parser, overrides []Override) (*koanf.Koanf, error) {
	tree := koanf.New(keyDelimiter)
	err := tree.Load(rawbytes.Provider(content), parser)
	if err != nil {
		return nil, invalid("settings file is not %s: %s", format, firstLine(err))
	}
	return tree, applyOverrides(tree, overrides)
}

func applyOverrides(tree *koanf.Koanf, overrides []Override) error {
	for _, override := range overrides {
		if override.OnlyIfMissing && tree.Exists(override.Key) {
			continue
		}
		var value any
		err := yamlv3.Unmarshal([]byte(override.Value), &value)
		if err != nil {
			return invalid("%s: %q can't be read: %s", override.Key, override.Value, firstLine(err))
		}
		if value == nil {
			value = override.Value
		}
		err = tree.Set(override.Key, value)
		if err != nil {
			return invalid("%s: %s", override.Key, firstLine(err))
		}
	}
	return nil
}

// decode fills the defaults with what tree names. It accepts no unknown key
// and no value of another type.
func decode[Loaded any](tree *koanf.Koanf, defaults Loaded) (Loaded, error) {
	loaded := defaults
	var metadata mapstructure.Metadata
	err := tree.UnmarshalWithConf("", &loaded, koanf.UnmarshalConf{
		Tag: keyTag,
		DecoderConfig: &mapstructure.DecoderConfig{
			DecodeHook: decodeUnit,
			Metadata:   &metadata,
			MatchName:  func(key, field string) bool { return key == field },
		},
	})
	if len(metadata.Unused) > 0 {
		sort.Strings(metadata.Unused)
		return defaults, invalid("%s: unknown key", metadata.Unused[0])
	}
	if err != nil {
		return defaults, decodeFailure(err)
	}
	return loaded, nil
}

// decodeFailure names the key of the first value that can't be read.
func decodeFailure(err error) error {
	var unit *unitError
	var named *mapstructure.DecodeError
	if !errors.As(err, &named) {
		return invalid("%s", firstLine(err))
	}
	if errors.As(named, &unit) {
		return invalid("%s: %s", named.Name(), unit.reason)
	}
	return invalid("%s: %s", named.Name(), firstLine(named.Unwrap()))
}

func invalid(format string, arguments ...any) error {
	return resultcode.New(resultcode.InvalidSettings, format, arguments...)
}

// firstLine returns err's text on one line.
func firstLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
